"""Command-line parser of figcrankctl."""

import argparse
import math
import os
import re
from typing import Any, NoReturn

from figcrank.cli import (
    _ctl_config,
    _ctl_edits,
    _ctl_fleet,
    _ctl_load,
    _ctl_logs,
    _ctl_queues,
    _ctl_trace,
)
from figcrank.cli._ctl_client import URL_PREFIX, parse_address
from figcrank.cli._ctl_errors import ExitCode, UsageError
from figcrank.protocol.objects import CONFIG_KINDS
from figcrank.state import ProfileMode

MAX_WAIT_S = 3_600.0
MAX_RATE_PER_S = 100_000.0
MAX_CONNECTIONS = 1_024
DEFAULT_CONNECTIONS = 16
_NAME = re.compile(r"[^\x00-\x1f\x7f/]{1,128}")
_KEY_ID = re.compile(r"[A-Za-z0-9.-]{1,128}")

EPILOG = """\
environment:
  FIGCRANK_OPERATOR_URL  comma-separated URLs of operator APIs
  FIGCRANK_OPERATOR_KEY  operator key
  FIGCRANK_KEY           caller key, for 'load'

exit codes:
  0  success
  1  request rejected, or conflict with another edit
  2  invalid arguments or file; nothing was changed
  3  no host could be reached, a host sent no reply to a command, or a host is missing from the
     answer of 'queues'
  4  change stored, but not in force at every live host in time
"""


class Parser(argparse.ArgumentParser):
    """Argument parser that prints errors as a single line."""

    def error(self, message: str) -> NoReturn:
        """Print the error and exit with the status for invalid arguments."""
        line = " ".join(message.split())
        self.exit(ExitCode.USAGE, f"figcrankctl: {line}; see '{self.prog} --help'\n")


def build_parser() -> argparse.ArgumentParser:
    """Return the command-line parser."""
    parser = Parser(
        prog="figcrankctl",
        description="Inspect a figcrank fleet and change its configuration.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
        allow_abbrev=False,
        parents=[_common_options()],
    )
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    _add_fleet_commands(commands)
    for kind in ("workspace", "profile", "service"):
        _add_object_commands(commands, kind)
    _add_key_commands(commands)
    _add_config_commands(commands)
    _add_trace(commands)
    _add_load(commands)
    _add_logs(commands)
    _add_queues(commands)
    return parser


def with_defaults(options: argparse.Namespace) -> argparse.Namespace:
    """Add the defaults of the options that are allowed before and after the command."""
    urls = os.environ.get("FIGCRANK_OPERATOR_URL", "").split(",")
    defaults = {
        "json": False,
        "operator_url": urls,
        "operator_key": os.environ.get("FIGCRANK_OPERATOR_KEY", ""),
        "operator_name": os.environ.get("USER") or "unknown",
    }
    return argparse.Namespace(**{**defaults, **vars(options)})


def _common_options() -> argparse.ArgumentParser:
    # Without defaults, because a subcommand's defaults would overwrite options given before it.
    common = argparse.ArgumentParser(add_help=False, argument_default=argparse.SUPPRESS)
    common.add_argument("--json", action="store_true", help="print JSON instead of tables")
    common.add_argument(
        "--operator-url",
        metavar="URL",
        action="append",
        help="URL of a host's operator API, http://IP:PORT; may be repeated",
    )
    common.add_argument("--operator-key", metavar="KEY", help="operator key")
    common.add_argument(
        "--operator-name",
        metavar="NAME",
        type=_name,
        help="operator name recorded in the audit entry (default: $USER)",
    )
    return common


def _add_command(commands: Any, name: str, run: Any, text: str, remote: bool = True) -> Parser:
    parser = commands.add_parser(
        name, help=text, description=text, allow_abbrev=False, parents=[_common_options()]
    )
    parser.set_defaults(run=run, remote=remote)
    return parser


def _add_command_group(commands: Any, name: str, text: str) -> Any:
    parser = commands.add_parser(name, help=text, description=text, allow_abbrev=False)
    return parser.add_subparsers(metavar="ACTION", required=True)


def _add_fleet_commands(commands: Any) -> None:
    _add_command(commands, "status", _ctl_fleet.show_status, "show hosts, groups and limits")
    _add_command(
        commands, "hosts", _ctl_fleet.show_hosts, "show all hosts as reported by each queried host"
    )
    _add_command(
        commands, "groups", _ctl_fleet.show_groups, "show database groups and backend servers"
    )
    servers = _add_command_group(commands, "server", "drain or restore a backend server")
    server_actions = (
        ("drain", _ctl_fleet.drain_server, "stop sending new work to a backend server"),
        ("restore", _ctl_fleet.restore_server, "return a drained backend server to service"),
    )
    for name, run, text in server_actions:
        parser = _add_command(servers, name, run, text)
        parser.add_argument("group", type=_name)
        parser.add_argument("server", type=_name)
    switch = _add_command(
        commands, "switch", _ctl_fleet.switch_primary, "switch a group's primary without data loss"
    )
    switch.add_argument("group", type=_name)
    switch.add_argument(
        "--to", metavar="SERVER", type=_name, help="server to promote (default: the best candidate)"
    )
    explain = _add_command(
        commands, "explain", _ctl_fleet.explain, "show recorded decisions and their reasons"
    )
    explain.add_argument(
        "subject",
        nargs="?",
        default="",
        help="request id, group, server, workspace or host (default: all)",
    )


def _add_object_commands(commands: Any, kind: str) -> None:
    actions = _add_command_group(commands, kind, f"list, create or change {kind}s")
    listing = _add_command(actions, "list", _ctl_edits.list_objects, f"list {kind}s")
    listing.set_defaults(kind=kind)
    run = getattr(_ctl_edits, f"set_{kind}")
    setting = _add_command(actions, "set", run, f"create or change a {kind}")
    setting.add_argument("name", type=_name)
    if kind == "workspace":
        setting.add_argument(
            "--rate-per-s", metavar="N", type=_positive_integer, help="requests per second"
        )
        setting.add_argument(
            "--burst", metavar="N", type=_positive_integer, help="maximum burst of requests"
        )
    elif kind == "profile":
        setting.add_argument("--mode", type=_mode, required=True, help="fresh, bounded or write")
        setting.add_argument(
            "--max-staleness-ms",
            metavar="MS",
            type=_positive_integer,
            help="maximum staleness of reads; only with --mode bounded",
        )
    else:
        setting.add_argument("--group", type=_name, required=True, help="database group")
    _add_version(setting)
    _add_wait(setting)


def _add_key_commands(commands: Any) -> None:
    actions = _add_command_group(commands, "key", "create, withdraw and list caller keys")
    _add_command(actions, "list", _ctl_edits.list_keys, "list keys, without secrets")
    create = _add_command(
        actions,
        "create",
        _ctl_edits.create_key,
        "create a key and print it; it cannot be shown again",
    )
    create.add_argument("workspace", type=_name)
    create.add_argument(
        "--key-id", metavar="ID", type=_key_id, help="public part of the key (default: random)"
    )
    _add_wait(create)
    withdraw = _add_command(
        actions, "withdraw", _ctl_edits.withdraw_key, "withdraw a key permanently"
    )
    withdraw.add_argument("key_id", metavar="KEY_ID", type=_key_id)
    _add_version(withdraw)
    _add_wait(withdraw)


def _add_config_commands(commands: Any) -> None:
    actions = _add_command_group(
        commands, "config", "show, check, compare and apply configurations"
    )
    get = _add_command(actions, "get", _ctl_config.get_config, "show the configuration in force")
    get.add_argument("--kind", choices=CONFIG_KINDS, help="only objects of this kind")
    get.add_argument("--name", type=_name, help="only objects of this name")
    diff = _add_command(
        actions, "diff", _ctl_config.diff_config, "compare a file with the configuration in force"
    )
    diff.add_argument("file", metavar="FILE")
    check = _add_command(
        actions,
        "check",
        _ctl_config.check_settings,
        "validate a host's settings file",
        remote=False,
    )
    check.add_argument("file", metavar="FILE")
    apply = _add_command(actions, "apply", _ctl_config.apply_config, "store the objects of a file")
    apply.add_argument("file", metavar="FILE")
    _add_wait(apply)


def _add_trace(commands: Any) -> None:
    trace = _add_command(
        commands, "trace", _ctl_trace.show_trace, "show a trace, one line per span", remote=False
    )
    trace.add_argument("file", metavar="FILE", help="trace file of a host")
    trace.add_argument(
        "trace_id", metavar="TRACE_ID", nargs="?", help="trace to show (default: the newest)"
    )


def _add_load(commands: Any) -> None:
    load = _add_command(
        commands, "load", _ctl_load.run_load, "send statements at a fixed rate", remote=False
    )
    load.add_argument("--url", required=True, help="URL of a host's caller API, http://IP:PORT")
    load.add_argument(
        "--key", default=os.environ.get("FIGCRANK_KEY", ""), type=_key, help="caller key"
    )
    load.add_argument("--service", required=True, type=_path_name)
    load.add_argument("--profile", required=True, type=_path_name)
    load.add_argument(
        "--sql", default="select 1", help="SQL statement to send (default: %(default)s)"
    )
    load.add_argument("--rate-per-s", metavar="N", type=_rate, required=True)
    load.add_argument("--duration-s", metavar="S", type=_seconds, required=True)
    load.add_argument(
        "--connections",
        metavar="N",
        type=_connections,
        default=DEFAULT_CONNECTIONS,
        help="maximum number of connections (default: %(default)s)",
    )
    load.add_argument(
        "--plot", metavar="FILE", help="write a plot of latency by percentile to an image file"
    )


def _add_version(parser: Parser) -> None:
    parser.add_argument(
        "--version",
        metavar="N",
        type=_version,
        help="version that the edit is based on, 0 for a new object (default: the current version)",
    )


def _add_wait(parser: Parser) -> None:
    parser.add_argument(
        "--wait",
        metavar="SECONDS",
        type=_seconds,
        help="wait until the change is in force at every live host",
    )


def _metrics_address(text: str) -> str:
    try:
        return parse_address(f"{URL_PREFIX}{text.removeprefix(URL_PREFIX).rstrip('/')}")
    except UsageError:
        raise argparse.ArgumentTypeError(f"invalid address {text!r}: expected IP:PORT") from None


def _name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise argparse.ArgumentTypeError(
            f"invalid name {text!r}: use 1 to 128 characters, without '/' and control characters"
        )
    return text


def _path_name(text: str) -> str:
    if not re.fullmatch(r"[A-Za-z0-9._-]{1,128}", text):
        raise argparse.ArgumentTypeError(
            f"invalid name {text!r}: use 1 to 128 letters, digits, '.', '_' and '-'"
        )
    return text


def _key_id(text: str) -> str:
    if not _KEY_ID.fullmatch(text):
        raise argparse.ArgumentTypeError(
            f"invalid key id {text!r}: use 1 to 128 letters, digits, '.' and '-'"
        )
    return text


def _key(text: str) -> str:
    if not text.isascii() or not text.isprintable():
        raise argparse.ArgumentTypeError("invalid key: only printable ASCII characters are allowed")
    return text


def _mode(text: str) -> ProfileMode:
    if text not in list(ProfileMode):
        raise argparse.ArgumentTypeError(
            f"invalid mode {text!r}: use one of {', '.join(ProfileMode)}"
        )
    return ProfileMode(text)


def _positive_integer(text: str) -> int:
    return _integer(text, 1)


def _version(text: str) -> int:
    return _integer(text, 0)


def _connections(text: str) -> int:
    number = _integer(text, 1)
    if number > MAX_CONNECTIONS:
        raise argparse.ArgumentTypeError(f"{text!r} is too large: the maximum is {MAX_CONNECTIONS}")
    return number


def _integer(text: str, minimum: int) -> int:
    # At most 18 digits, so that the value fits into every integer of the protocol.
    if not re.fullmatch(r"[0-9]{1,18}", text) or int(text) < minimum:
        raise argparse.ArgumentTypeError(
            f"invalid value {text!r}: expected an integer of at least {minimum}"
        )
    return int(text)


def _seconds(text: str) -> float:
    return _positive_number(text, MAX_WAIT_S)


def _rate(text: str) -> float:
    return _positive_number(text, MAX_RATE_PER_S)


def _positive_number(text: str, maximum: float) -> float:
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not 0 < number <= maximum:
        raise argparse.ArgumentTypeError(
            f"invalid value {text!r}: expected a number greater than 0 and at most {maximum:g}"
        )
    return number


def _add_logs(commands: Any) -> None:
    text = "analyze host log files: a request's history, state changes or rejections"
    parser = _add_command(commands, "logs", _ctl_logs.show_logs, text, remote=False)
    parser.add_argument(
        "files", nargs="+", metavar="FILE", help="host log file; - reads standard input"
    )
    choice = parser.add_mutually_exclusive_group()
    choice.add_argument(
        "--request", metavar="ID", help="show the history of a request across all hosts"
    )
    choice.add_argument(
        "--beliefs",
        action="store_true",
        help="show state changes observed by each host, such as changes of the primary",
    )
    choice.add_argument(
        "--stages",
        action="store_true",
        help="show where the time of answered requests went, by moment, mode, form and outcome",
    )
    parser.add_argument(
        "--span-s",
        type=int,
        default=0,
        metavar="SECONDS",
        help="length of a row's span with --stages (default 0: one span over all)",
    )
    choice.add_argument(
        "--plot", metavar="PICTURE", help="write a plot of rejections per second to an image file"
    )


def _add_queues(commands: Any) -> None:
    text = "show what waits in a database group of the session proxy, and who is refused and why"
    parser = _add_command(commands, "queues", _ctl_queues.show_queues, text, remote=False)
    parser.add_argument("group", metavar="GROUP", type=_name)
    parser.add_argument(
        "addresses",
        nargs="+",
        metavar="ADDRESS",
        type=_metrics_address,
        help="metrics address of a host, IP:PORT",
    )
