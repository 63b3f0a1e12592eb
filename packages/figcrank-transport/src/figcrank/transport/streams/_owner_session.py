"""Sessions that this host runs as an owner on behalf of a relay or of another owner."""

from eventlet.green import socket

from figcrank.coordination.regions import AllowedRegions, allowed_regions
from figcrank.coordination.sessions import RefusalReason
from figcrank.protocol.relays import RelayCallerCodec
from figcrank.protocol.sessions import (
    CallerMessage,
    ConfigurationSeen,
    SessionFailure,
    StartOptions,
)
from figcrank.transport.streams._caller_connection import SESSION_START_TIMEOUT_MS
from figcrank.transport.streams._session import CallerSession, SessionServices
from figcrank.transport.streams._traffic import MessageKind, TrafficMeter

MAX_REDIRECTED_OWNERS = 3  # the group owner and two successors; a start tries no more in its time


class OwnerSession(CallerSession):
    """Runs a session that a relay or another owner forwards.

    :param sock: connected socket of the sender.
    :param services: services shared by all sessions.
    """

    def __init__(self, sock: socket.socket, services: SessionServices) -> None:
        self._relay_codec = RelayCallerCodec(services.codec, self._reply_facts)
        super().__init__(sock, services, self._relay_codec)
        self._options: StartOptions | None = None

    def _read_start(self) -> CallerMessage | None:
        message = self._next_message(SESSION_START_TIMEOUT_MS)
        while isinstance(message, ConfigurationSeen | StartOptions):
            if isinstance(message, ConfigurationSeen):
                self.require_version(message.version)
            else:
                self._options = message
            message = self._next_message(SESSION_START_TIMEOUT_MS)
        meter = TrafficMeter(self._services.router.view.regions, self._services.metrics)
        self._count_bytes(meter.channel(MessageKind.RELAY, self._caller_zone))
        return message

    @property
    def _caller_zone(self) -> str:
        """Return the zone of the host that the caller reached; empty if it did not tell."""
        return self._options.availability_zone if self._options else ""

    def _allowed_regions(self) -> AllowedRegions:
        view = self._services.router.view
        route = view.catalog.routes.get(self._database)
        if route is None:
            return AllowedRegions()
        workspace = view.catalog.workspace_by_key.get(self._key, "")
        return allowed_regions(route, workspace, view.catalog, view.regions)

    def _host_refusal(self) -> str | None:
        own_zone = self._services.router.view.itself.availability_zone
        return self._allowed_regions().host_refusal(own_zone, self._caller_zone)

    def _is_sent_away(self) -> bool:
        services, view, options = self._services, self._services.router.view, self._options
        now_ms = services.clock.now_ms()
        if options is None or not options.from_owner:
            view.ownership.record_relay(now_ms)
        refusal = self._host_refusal()
        group = view.catalog.routes[self._database].group
        owners = []
        if options is not None and not options.final:
            allowed, zone = self._allowed_regions(), options.availability_zone
            owners = view.ownership.owners_for(
                group, zone, now_ms, lambda owner_zone: allowed.permits_host(owner_zone, zone)
            )
        if not owners and refusal is not None:
            self._record_refusal("", SessionFailure.BUSY, refusal, RefusalReason.REGION)
            self._send_rejection(SessionFailure.BUSY, refusal)
            return True
        if not owners or owners[0].address == view.itself.address:
            return False
        self._rejected = True
        self._send(self._relay_codec.redirect(owners[:MAX_REDIRECTED_OWNERS]))
        services.metrics.count("session_redirected", group=group)
        services.log.event(
            "session_redirected",
            database=self._database,
            group=group,
            zone=options.availability_zone,
            owner=owners[0].name,
        )
        return True

    def _reject_start(self, failure: SessionFailure, reason: str) -> None:
        """Send nothing: the relay tries another owner once the connection is closed."""
        self._rejected = True
        self._outstanding = None

    def _reply_facts(self) -> tuple[int, int]:
        """Return the configuration version and the route's statement timeout, for each reply."""
        catalog = self._services.router.view.catalog
        if catalog is None:
            return 0, 0
        route = catalog.routes.get(self._database)
        return catalog.version, route.timeout_ms if route else 0
