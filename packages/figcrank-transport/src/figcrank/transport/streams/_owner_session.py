"""Sessions that this host runs as an owner on behalf of a relay."""

from eventlet.green import socket

from figcrank.protocol.relays import RelayCallerCodec
from figcrank.transport.streams._session import CallerSession, SessionServices


class OwnerSession(CallerSession):
    """Runs a session that a relay forwards.

    :param sock: connected socket of the relay.
    :param services: services shared by all sessions.
    """

    def __init__(self, sock: socket.socket, services: SessionServices) -> None:
        super().__init__(sock, services, RelayCallerCodec(services.codec, self._reply_facts))

    def _reply_facts(self) -> tuple[int, int]:
        """Return the configuration version and the route's statement timeout, for each reply."""
        catalog = self._services.router.view.catalog
        if catalog is None:
            return 0, 0
        route = catalog.routes.get(self._database)
        return catalog.version, route.timeout_ms if route else 0
