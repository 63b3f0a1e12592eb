"""figcrankd, the daemon that runs one proxy host."""

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
    """Line of JSON that is printed when the host is ready.

    :param ready: always true.
    :param caller_url: URL of the caller API.
    :param operator_url: URL of the operator API.
    :param operator_key: operator key; only of an embedded host.
    :param workspace: sample workspace; only of an embedded host.
    :param key: caller key of the sample workspace; only of an embedded host.
    :param service: sample service; only of an embedded host.
    :param profiles: sample profiles; only of an embedded host.
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
    """Return the command-line parser."""
    parser = argparse.ArgumentParser(prog="figcrankd", description="Run one figcrank host.")
    mode = parser.add_mutually_exclusive_group(required=True)
    mode.add_argument("--config", metavar="FILE", help="settings file in JSON with comments")
    mode.add_argument(
        "--embedded",
        action="store_true",
        help="run with an in-process platform and database group, for evaluation",
    )
    parser.add_argument("--check", action="store_true", help="validate the settings and exit")
    parser.add_argument(
        "--listen",
        metavar="IP:PORT",
        default=DEFAULT_LISTEN,
        help="caller address of an embedded host (default: %(default)s)",
    )
    parser.add_argument(
        "--trace-file",
        metavar="FILE",
        default="",
        help="write the spans of an embedded host to FILE",
    )
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the host until it stops and return the exit status."""
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
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, _shutdown_handler(process))
    process.start()
    eventlet.spawn(_print_ready_line, process, embedded)
    is_clean = process.wait_stopped()
    logging.info("The host has stopped.")
    return EXIT_OK if is_clean else EXIT_UNFINISHED


def _shutdown_handler(process: HostProcess) -> Any:
    def handler(signum: int, frame: Any) -> None:
        # The signal may interrupt the hub at any point, so its next iteration runs the shutdown.
        eventlet.hubs.get_hub().schedule_call_global(0, process.leave)

    return handler


def _print_ready_line(process: HostProcess, embedded: EmbeddedFleet | None) -> None:
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
