"""One stand-in server of a database group as a process of its own."""

import argparse
import sys
from collections.abc import Sequence

import eventlet
import msgspec

from figcrank.protocol import Fence, FigcrankError, Follow, Promote
from figcrank.standins._addresses import address_argument, is_address
from figcrank.standins._knobs import CONNECT_MS, Knobs
from figcrank.standins._replication import RemoteSource
from figcrank.standins._server_model import MAX_CONNECTIONS, ServerModel
from figcrank.standins.group_server import GroupServer
from figcrank.standins.samples import SAMPLE_GROUP

FIRST_TERM = 1
_BOOTSTRAP_FENCER = "bootstrap"
_IDLE_S = 3_600


class PeerArgument(msgspec.Struct, frozen=True):
    """Another server of the group.

    :param name: its name.
    :param address: its ``ip:port``.
    """

    name: str
    address: str

    @classmethod
    def from_text(cls, text: str) -> "PeerArgument":
        """Parse ``NAME=IP:PORT``.

        :raises PeerArgumentError: if the text has another form.
        """
        name, separator, address = text.partition("=")
        if not (separator and name and is_address(address)):
            raise PeerArgumentError(text)
        return cls(name, address)


class PeerArgumentError(FigcrankError, ValueError):
    """A peer that is not given as ``NAME=IP:PORT``."""

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is not of the form NAME=IP:PORT.")


class Ready(msgspec.Struct, frozen=True):
    """The line that a process prints once it accepts connections.

    :param server: name of the server.
    :param address: its ``ip:port``.
    """

    server: str
    address: str


def main(argv: Sequence[str] | None = None) -> int:
    """Serve until the process is ended."""
    arguments = _parser().parse_args(argv)
    server = create_server(arguments)
    host, _, port = arguments.listen.rpartition(":")
    address = server.listen(host, int(port))
    server.start({peer.name: RemoteSource(peer.address) for peer in arguments.peer})
    print(msgspec.json.encode(Ready(arguments.server, address)).decode(), flush=True)
    while True:
        eventlet.sleep(_IDLE_S)


def create_server(arguments: argparse.Namespace) -> GroupServer:
    """Return the server that the command line describes, not yet listening."""
    members = (arguments.server, *(peer.name for peer in arguments.peer))
    model = ServerModel(arguments.server, members, arguments.connections)
    if arguments.primary:
        _begin_first_term(model, arguments.primary)
    return GroupServer(model, Knobs(lag_ms=arguments.lag_ms, connect_ms=arguments.connect_ms))


def _begin_first_term(model: ServerModel, primary: str) -> None:
    if model.name != primary:
        model.request(Follow(FIRST_TERM, primary))
        return
    model.request(Fence(FIRST_TERM, _BOOTSTRAP_FENCER))
    model.request(Promote(FIRST_TERM, _BOOTSTRAP_FENCER))


def _peer(text: str) -> PeerArgument:
    try:
        return PeerArgument.from_text(text)
    except PeerArgumentError as error:
        raise argparse.ArgumentTypeError(str(error)) from error


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="figcrank.standins.group", description=__doc__)
    parser.add_argument("--name", default=SAMPLE_GROUP, help="name of the group")
    parser.add_argument("--server", required=True, help="name of this server")
    parser.add_argument("--listen", type=address_argument, default="127.0.0.1:0", metavar="IP:PORT")
    parser.add_argument("--peer", type=_peer, action="append", default=[], metavar="NAME=IP:PORT")
    parser.add_argument(
        "--primary",
        default="",
        metavar="SERVER",
        help="server that begins term 1 of a new group; leave out when rejoining a running one",
    )
    parser.add_argument("--connections", type=int, default=MAX_CONNECTIONS)
    parser.add_argument("--lag-ms", type=int, default=0)
    parser.add_argument("--connect-ms", type=int, default=CONNECT_MS)
    return parser


if __name__ == "__main__":
    sys.exit(main())
