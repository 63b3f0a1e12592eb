"""The platform stand-in as a process of its own."""

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path

import eventlet
import msgspec

from figcrank.standins._addresses import address_argument
from figcrank.standins.platform_server import Seed, start_platform
from figcrank.standins.samples import sample_objects

_IDLE_S = 3_600


class Ready(msgspec.Struct, frozen=True):
    """The line that the process prints once it accepts connections.

    :param address: its ``ip:port``.
    """

    address: str


def main(argv: Sequence[str] | None = None) -> int:
    """Serve until the process is ended."""
    arguments = _parser().parse_args(argv)
    seed = read_seed(arguments.seed) if arguments.seed else Seed()
    samples = sample_objects().objects if arguments.sample else ()
    host, _, port = arguments.listen.rpartition(":")
    server = start_platform((*samples, *seed.objects), seed.hosts, host, int(port))
    print(msgspec.json.encode(Ready(server.address)).decode(), flush=True)
    while True:
        eventlet.sleep(_IDLE_S)


def read_seed(path: Path) -> Seed:
    """Return the seed in a JSON file.

    :raises msgspec.DecodeError: if the file is not a seed.
    """
    return msgspec.json.decode(path.read_bytes(), type=Seed)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="figcrank.standins.platform", description=__doc__)
    parser.add_argument("--listen", type=address_argument, default="127.0.0.1:0", metavar="IP:PORT")
    parser.add_argument("--seed", type=Path, help="JSON file with objects and hosts")
    parser.add_argument("--sample", action="store_true", help="store the sample configuration")
    return parser


if __name__ == "__main__":
    sys.exit(main())
