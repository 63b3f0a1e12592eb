"""Sessions that this host runs as an owner on behalf of a relay or of another owner."""

from eventlet.green import socket

from figcrank.protocol.relays import RelayCallerCodec
from figcrank.protocol.sessions import CallerMessage, ConfigurationSeen, StartOptions
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
        zone = self._options.availability_zone if self._options else ""
        meter = TrafficMeter(self._services.router.view.regions, self._services.metrics)
        self._count_bytes(meter.channel(MessageKind.RELAY, zone))
        return message

    def _is_redirected(self) -> bool:
        services, view, options = self._services, self._services.router.view, self._options
        now_ms = services.clock.now_ms()
        if options is None or not options.from_owner:
            view.ownership.record_relay(now_ms)
        if options is None or options.final:
            return False
        group = view.catalog.routes[self._database].group
        owners = view.ownership.owners_for(group, options.availability_zone, now_ms)
        if not owners or owners[0].address == view.itself.address:
            return False
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

    def _reply_facts(self) -> tuple[int, int]:
        """Return the configuration version and the route's statement timeout, for each reply."""
        catalog = self._services.router.view.catalog
        if catalog is None:
            return 0, 0
        route = catalog.routes.get(self._database)
        return catalog.version, route.timeout_ms if route else 0
