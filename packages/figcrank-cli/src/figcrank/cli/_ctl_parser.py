"""The command line of figcrankctl."""

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
    _ctl_trace,
)
from figcrank.cli._ctl_errors import ExitCode
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
  FIGCRANK_OPERATOR_URL  URLs of operator APIs, separated by commas
  FIGCRANK_OPERATOR_KEY  operator key
  FIGCRANK_KEY           caller's key, for load

exit codes:
  0  done
  1  refused, or in conflict with another edit
  2  wrong usage or a bad file; nothing was changed
  3  no host could be reached, or one did not answer an order
  4  stored, but not in force at every live host in time
"""


class Parser(argparse.ArgumentParser):
    """A parser whose errors are one line."""

    def error(self, message: str) -> NoReturn:
        """Print the fault and leave with the exit code of wrong usage."""
        line = " ".join(message.split())
        self.exit(ExitCode.USAGE, f"figcrankctl: {line}; see '{self.prog} --help'\n")


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = Parser(
        prog="figcrankctl",
        description="Look at a figcrank fleet and change its configuration.",
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
    return parser


def with_defaults(options: argparse.Namespace) -> argparse.Namespace:
    """Fill in the options that may stand before or after the command."""
    urls = os.environ.get("FIGCRANK_OPERATOR_URL", "").split(",")
    defaults = {
        "json": False,
        "operator_url": urls,
        "operator_key": os.environ.get("FIGCRANK_OPERATOR_KEY", ""),
        "operator_name": os.environ.get("USER") or "unknown",
    }
    return argparse.Namespace(**{**defaults, **vars(options)})


def _common_options() -> argparse.ArgumentParser:
    # Without defaults, so that a sub-command does not hide what stood before it.
    common = argparse.ArgumentParser(add_help=False, argument_default=argparse.SUPPRESS)
    common.add_argument("--json", action="store_true", help="print JSON instead of tables")
    common.add_argument(
        "--operator-url",
        metavar="URL",
        action="append",
        help="operator API of a host, http://IP:PORT; may be given several times",
    )
    common.add_argument("--operator-key", metavar="KEY", help="operator key")
    common.add_argument(
        "--operator-name",
        metavar="NAME",
        type=_name,
        help="who makes the edit, for the audit entry (default: the user's name)",
    )
    return common


def _add(commands: Any, name: str, run: Any, text: str, remote: bool = True) -> Parser:
    parser = commands.add_parser(
        name, help=text, description=text, allow_abbrev=False, parents=[_common_options()]
    )
    parser.set_defaults(run=run, remote=remote)
    return parser


def _add_nested(commands: Any, name: str, text: str) -> Any:
    parser = commands.add_parser(name, help=text, description=text, allow_abbrev=False)
    return parser.add_subparsers(metavar="ACTION", required=True)


def _add_fleet_commands(commands: Any) -> None:
    _add(commands, "status", _ctl_fleet.show_status, "show hosts, groups and limits")
    _add(commands, "hosts", _ctl_fleet.show_hosts, "show every host and who sees it")
    _add(commands, "groups", _ctl_fleet.show_groups, "show groups and backend servers")
    servers = _add_nested(commands, "server", "take a backend server out of use or back")
    orders = (
        ("drain", _ctl_fleet.drain_server, "give a backend server no new work"),
        ("restore", _ctl_fleet.restore_server, "take a backend server back into use"),
    )
    for name, run, text in orders:
        parser = _add(servers, name, run, text)
        parser.add_argument("group", type=_name)
        parser.add_argument("server", type=_name)
    switch = _add(
        commands, "switch", _ctl_fleet.switch_primary, "move a group's primary without losses"
    )
    switch.add_argument("group", type=_name)
    switch.add_argument(
        "--to", metavar="SERVER", type=_name, help="server to promote (default: best)"
    )
    explain = _add(commands, "explain", _ctl_fleet.explain, "show decisions and their reasons")
    explain.add_argument(
        "subject", nargs="?", default="", help="request id, group, server, workspace or host"
    )


def _add_object_commands(commands: Any, kind: str) -> None:
    actions = _add_nested(commands, kind, f"list {kind}s, create or change one")
    listing = _add(actions, "list", _ctl_edits.list_objects, f"list {kind}s")
    listing.set_defaults(kind=kind)
    run = getattr(_ctl_edits, f"set_{kind}")
    setting = _add(actions, "set", run, f"create or change a {kind}")
    setting.add_argument("name", type=_name)
    if kind == "workspace":
        setting.add_argument("--rate-per-s", metavar="N", type=_positive, help="requests a second")
        setting.add_argument("--burst", metavar="N", type=_positive, help="requests at once")
    elif kind == "profile":
        setting.add_argument("--mode", type=_mode, required=True, help="fresh, bounded or write")
        setting.add_argument(
            "--max-staleness-ms", metavar="MS", type=_positive, help="greatest age, if bounded"
        )
    else:
        setting.add_argument("--group", type=_name, required=True, help="database group")
    _add_version(setting)
    _add_wait(setting)


def _add_key_commands(commands: Any) -> None:
    actions = _add_nested(commands, "key", "create, withdraw and list callers' keys")
    _add(actions, "list", _ctl_edits.list_keys, "list keys without their secrets")
    create = _add(actions, "create", _ctl_edits.create_key, "create a key and show it once")
    create.add_argument("workspace", type=_name)
    create.add_argument(
        "--key-id", metavar="ID", type=_key_id, help="public part (default: random)"
    )
    _add_wait(create)
    withdraw = _add(actions, "withdraw", _ctl_edits.withdraw_key, "make a key stop working")
    withdraw.add_argument("key_id", metavar="KEY_ID", type=_key_id)
    _add_version(withdraw)
    _add_wait(withdraw)


def _add_config_commands(commands: Any) -> None:
    actions = _add_nested(commands, "config", "read, check, compare and apply configurations")
    get = _add(actions, "get", _ctl_config.get_config, "show the configuration in force")
    get.add_argument("--kind", choices=CONFIG_KINDS, help="only objects of this kind")
    get.add_argument("--name", type=_name, help="only objects of this name")
    diff = _add(actions, "diff", _ctl_config.diff_config, "compare a file with what is in force")
    diff.add_argument("file", metavar="FILE")
    check = _add(
        actions, "check", _ctl_config.check_settings, "check a host's settings", remote=False
    )
    check.add_argument("file", metavar="FILE")
    apply = _add(actions, "apply", _ctl_config.apply_config, "store a file's objects")
    apply.add_argument("file", metavar="FILE")
    _add_wait(apply)


def _add_trace(commands: Any) -> None:
    trace = _add(
        commands, "trace", _ctl_trace.show_trace, "show a trace, one line a hop", remote=False
    )
    trace.add_argument("file", metavar="FILE", help="spans file of a host")
    trace.add_argument("trace_id", metavar="TRACE_ID", nargs="?", help="default: the newest")


def _add_load(commands: Any) -> None:
    load = _add(commands, "load", _ctl_load.run_load, "send statements at a set rate", remote=False)
    load.add_argument("--url", required=True, help="caller API of a host, http://IP:PORT")
    load.add_argument(
        "--key", default=os.environ.get("FIGCRANK_KEY", ""), type=_key, help="caller's key"
    )
    load.add_argument("--service", required=True, type=_path_name)
    load.add_argument("--profile", required=True, type=_path_name)
    load.add_argument("--sql", default="select 1", help="statement (default: %(default)s)")
    load.add_argument("--rate-per-s", metavar="N", type=_rate, required=True)
    load.add_argument("--duration-s", metavar="S", type=_seconds, required=True)
    load.add_argument(
        "--connections",
        metavar="N",
        type=_connections,
        default=DEFAULT_CONNECTIONS,
        help="connections at most (default: %(default)s)",
    )
    load.add_argument("--plot", metavar="FILE", help="write latencies by percentile as a picture")


def _add_version(parser: Parser) -> None:
    parser.add_argument(
        "--version",
        metavar="N",
        type=_version,
        help="version that the edit is based on, 0 for a new object (default: the one in force)",
    )


def _add_wait(parser: Parser) -> None:
    parser.add_argument(
        "--wait",
        metavar="SECONDS",
        type=_seconds,
        help="wait until the change is in force at every live host",
    )


def _name(text: str) -> str:
    if not _NAME.fullmatch(text):
        raise argparse.ArgumentTypeError(f"{text!r} is no name of 1 to 128 characters")
    return text


def _path_name(text: str) -> str:
    if not re.fullmatch(r"[A-Za-z0-9._-]{1,128}", text):
        raise argparse.ArgumentTypeError(f"{text!r} is no name of letters, digits, '.', '_', '-'")
    return text


def _key_id(text: str) -> str:
    if not _KEY_ID.fullmatch(text):
        raise argparse.ArgumentTypeError(f"{text!r} is no key id of letters, digits, '.' and '-'")
    return text


def _key(text: str) -> str:
    if not text.isascii() or not text.isprintable():
        raise argparse.ArgumentTypeError("a key has printable ASCII characters only")
    return text


def _mode(text: str) -> ProfileMode:
    if text not in list(ProfileMode):
        raise argparse.ArgumentTypeError(f"{text!r} is none of {', '.join(ProfileMode)}")
    return ProfileMode(text)


def _positive(text: str) -> int:
    return _whole(text, 1)


def _version(text: str) -> int:
    return _whole(text, 0)


def _connections(text: str) -> int:
    number = _whole(text, 1)
    if number > MAX_CONNECTIONS:
        raise argparse.ArgumentTypeError(f"{text!r} is more than {MAX_CONNECTIONS}")
    return number


def _whole(text: str, least: int) -> int:
    # At most 18 digits, which every number of the protocol can hold.
    if not re.fullmatch(r"[0-9]{1,18}", text) or int(text) < least:
        raise argparse.ArgumentTypeError(f"{text!r} is no whole number of {least} or more")
    return int(text)


def _seconds(text: str) -> float:
    return _decimal(text, MAX_WAIT_S)


def _rate(text: str) -> float:
    return _decimal(text, MAX_RATE_PER_S)


def _decimal(text: str, most: float) -> float:
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not 0 < number <= most:
        raise argparse.ArgumentTypeError(f"{text!r} is no number above 0 and up to {most:g}")
    return number


def _add_logs(commands: Any) -> None:
    text = "tell from log files what became of a request, who led when, or what was refused"
    parser = _add(commands, "logs", _ctl_logs.show_logs, text, remote=False)
    parser.add_argument("files", nargs="+", metavar="FILE", help="log lines of hosts; - for input")
    choice = parser.add_mutually_exclusive_group()
    choice.add_argument("--request", metavar="ID", help="all about one request, over all hosts")
    choice.add_argument(
        "--beliefs", action="store_true", help="who was primary when, and what changed a belief"
    )
    choice.add_argument("--plot", metavar="PICTURE", help="refusals of each second, as a picture")
