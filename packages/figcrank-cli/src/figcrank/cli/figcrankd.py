"""The figcrankd program: one proxy host."""

import argparse
import signal
import sys
import warnings
from collections.abc import Sequence
from typing import Any

import msgspec

with warnings.catch_warnings():
    warnings.filterwarnings("ignore", message=r"(?s)\s*Eventlet is deprecated")
    import eventlet
    import eventlet.hubs

from absl import logging

from figcrank.cli._embedded import EmbeddedFleet
from figcrank.protocol import SettingsError
from figcrank.transport import HostProcess, Settings, configure_logging

EXIT_OK = 0
EXIT_UNFINISHED = 1
EXIT_BAD_SETTINGS = 2
DEFAULT_LISTEN = "127.0.0.1:8080"


class ReadyLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the program prints once it is ready.

    :param ready: always true.
    :param caller_url: URL of the caller API.
    :param operator_url: URL of the operator API.
    :param operator_key: sample operator key, of an embedded fleet.
    :param workspace: sample workspace, of an embedded fleet.
    :param key: sample key, of an embedded fleet.
    :param service: sample service, of an embedded fleet.
    :param profiles: sample profiles, of an embedded fleet.
    """

    ready: bool
    caller_url: str
    operator_url: str
    operator_key: str = ""
    workspace: str = ""
    key: str = ""
    service: str = ""
    profiles: tuple[str, ...] = ()


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="figcrankd", description="Run one figcrank host.")
    mode = parser.add_mutually_exclusive_group(required=True)
    mode.add_argument("--config", metavar="FILE", help="settings file, JSON with comments")
    mode.add_argument(
        "--embedded",
        action="store_true",
        help="run with an in-process platform and database group, for trying things out",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument(
        "--listen",
        metavar="IP:PORT",
        default=DEFAULT_LISTEN,
        help="caller address of an embedded host (default: %(default)s)",
    )
    parser.add_argument(
        "--trace-file", metavar="FILE", default="", help="write the spans of an embedded host"
    )
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program and return its exit status."""
    options = build_parser().parse_args(argv)
    embedded = None
    try:
        if options.embedded:
            embedded = EmbeddedFleet.start(options.listen, options.trace_file)
        settings = embedded.settings if embedded else Settings.from_file(options.config)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if options.check:
        return EXIT_OK
    configure_logging(settings.host.name, settings.host.availability_zone)
    return _serve(settings, embedded)


def _serve(settings: Settings, embedded: EmbeddedFleet | None) -> int:
    try:
        process = HostProcess(settings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _leave_on_signal(process))
    process.start()
    eventlet.spawn(_announce, process, embedded)
    finished = process.wait_stopped()
    logging.info("The host has stopped.")
    return EXIT_OK if finished else EXIT_UNFINISHED


def _leave_on_signal(process: HostProcess) -> Any:
    def handler(number: int, frame: Any) -> None:
        # The hub may be in the middle of anything, so the work is left to its next turn.
        eventlet.hubs.get_hub().schedule_call_global(0, process.leave)

    return handler


def _announce(process: HostProcess, embedded: EmbeddedFleet | None) -> None:
    process.wait_ready()
    line = ReadyLine(True, process.caller_url, process.operator_url)
    if embedded is not None:
        line = msgspec.structs.replace(
            line,
            operator_key=embedded.settings.operator_keys[0],
            workspace=embedded.workspace,
            key=embedded.key,
            service=embedded.service,
            profiles=embedded.profiles,
        )
    print(msgspec.json.encode(line).decode(), flush=True)


if __name__ == "__main__":
    sys.exit(main())
