"""The figcrankctl program: the operators' command line.

Exit status: 0 done, 1 refused, in conflict or not in force everywhere, 2 wrong usage or a bad
file, 3 no host could be reached.
"""

import argparse
import os
import sys
from collections.abc import Sequence

import argcomplete

from figcrank.cli import _ctl_commands as commands
from figcrank.cli._ctl_client import AddressError, MissingUrlError, RefusedError, UnreachableError
from figcrank.cli._ctl_objects import ObjectsFileError
from figcrank.protocol import FigcrankError, SettingsError
from figcrank.state import ProfileMode

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
URL_VARIABLE = "FIGCRANK_OPERATOR_URL"
KEY_VARIABLE = "FIGCRANK_OPERATOR_KEY"
CONFIG_KINDS = ("key", "profile", "route", "service", "workspace")
DEFAULT_WAIT_MS = 10_000

_STATUSES = {
    UnreachableError: EXIT_UNREACHABLE,
    RefusedError: EXIT_REFUSED,
    AddressError: EXIT_USAGE,
    MissingUrlError: EXIT_USAGE,
    ObjectsFileError: EXIT_USAGE,
    SettingsError: EXIT_USAGE,
}


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="figcrankctl",
        description="Watch and steer a figcrank fleet.",
        epilog="Exit status: 0 done, 1 refused or in conflict, 2 usage, 3 unreachable.",
    )
    subparsers = parser.add_subparsers(metavar="COMMAND", required=True)
    common = _common_options()
    waiting = _waiting_options()
    _add_views(subparsers, common)
    _add_workspaces(subparsers, common, waiting)
    _add_profiles(subparsers, common, waiting)
    _add_keys(subparsers, common, waiting)
    _add_config(subparsers, common, waiting)
    _add_servers(subparsers, common)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program and return its exit status."""
    parser = build_parser()
    argcomplete.autocomplete(parser)
    options = parser.parse_args(argv)
    try:
        done = options.run(options)
    except FigcrankError as error:
        print(f"figcrankctl: {error}", file=sys.stderr)
        return _STATUSES.get(type(error), EXIT_REFUSED)
    except BrokenPipeError:
        return EXIT_OK
    return EXIT_OK if done else EXIT_REFUSED


def _common_options() -> argparse.ArgumentParser:
    options = argparse.ArgumentParser(add_help=False)
    options.add_argument("--json", action="store_true", help="print JSON")
    options.add_argument(
        "--operator-url",
        metavar="URL",
        action="append",
        help=f"operator API of a host; repeat it to name more (default: ${URL_VARIABLE})",
    )
    options.add_argument(
        "--operator-key",
        metavar="KEY",
        default=os.environ.get(KEY_VARIABLE, ""),
        help=f"operator key (default: ${KEY_VARIABLE})",
    )
    options.add_argument(
        "--operator",
        metavar="NAME",
        default=os.environ.get("USER", "operator"),
        help="who makes an edit (default: $USER)",
    )
    return options


def _waiting_options() -> argparse.ArgumentParser:
    options = argparse.ArgumentParser(add_help=False)
    options.add_argument(
        "--wait", action="store_true", help="wait until the change is in force at every host"
    )
    options.add_argument(
        "--wait-ms",
        type=int,
        default=DEFAULT_WAIT_MS,
        metavar="MS",
        help="longest wait, in milliseconds (default: %(default)s)",
    )
    return options


def _add_views(subparsers: argparse._SubParsersAction, common: argparse.ArgumentParser) -> None:
    views = (
        ("status", "everything that a host knows", commands.status),
        ("hosts", "the hosts", commands.hosts),
        ("groups", "the database groups and their servers", commands.groups),
    )
    for name, text, run in views:
        parser = subparsers.add_parser(name, parents=[common], help=f"show {text}")
        parser.set_defaults(run=run)
    explain = subparsers.add_parser("explain", parents=[common], help="show why it was decided")
    explain.add_argument("subject", nargs="?", default="", help="request, group, server, host …")
    explain.set_defaults(run=commands.explain)


def _add_workspaces(
    subparsers: argparse._SubParsersAction,
    common: argparse.ArgumentParser,
    waiting: argparse.ArgumentParser,
) -> None:
    actions = _command_group(subparsers, "workspace", "show and edit workspaces")
    _add_list(actions, common, "workspace")
    edit = actions.add_parser("set", parents=[common, waiting], help="create or edit a workspace")
    edit.add_argument("name")
    edit.add_argument("--rate", type=int, required=True, metavar="N", help="requests a second")
    edit.add_argument("--burst", type=int, required=True, metavar="N", help="requests at once")
    _add_expected_version(edit)
    edit.set_defaults(run=commands.set_workspace)


def _add_profiles(
    subparsers: argparse._SubParsersAction,
    common: argparse.ArgumentParser,
    waiting: argparse.ArgumentParser,
) -> None:
    actions = _command_group(subparsers, "profile", "show and edit profiles")
    _add_list(actions, common, "profile")
    edit = actions.add_parser("set", parents=[common, waiting], help="create or edit a profile")
    edit.add_argument("name")
    edit.add_argument("--mode", required=True, choices=[str(mode) for mode in ProfileMode])
    edit.add_argument("--max-staleness-ms", type=int, default=0, metavar="MS")
    _add_expected_version(edit)
    edit.set_defaults(run=commands.set_profile)


def _add_keys(
    subparsers: argparse._SubParsersAction,
    common: argparse.ArgumentParser,
    waiting: argparse.ArgumentParser,
) -> None:
    actions = _command_group(subparsers, "key", "create, withdraw and list keys")
    listing = actions.add_parser("list", parents=[common], help="list the keys")
    listing.set_defaults(run=commands.list_keys)
    create = actions.add_parser("create", parents=[common, waiting], help="create a key")
    create.add_argument("workspace")
    create.set_defaults(run=commands.create_key)
    withdraw = actions.add_parser("withdraw", parents=[common, waiting], help="withdraw a key")
    withdraw.add_argument("key_id")
    withdraw.set_defaults(run=commands.withdraw_key)


def _add_config(
    subparsers: argparse._SubParsersAction,
    common: argparse.ArgumentParser,
    waiting: argparse.ArgumentParser,
) -> None:
    actions = _command_group(subparsers, "config", "show, check and apply configuration")
    get = actions.add_parser("get", parents=[common], help="show the configuration in force")
    get.add_argument("kind", nargs="?", default="", choices=["", *CONFIG_KINDS], metavar="KIND")
    get.add_argument("name", nargs="?", default="")
    get.set_defaults(run=commands.get_config)
    diff = actions.add_parser("diff", parents=[common], help="compare a file with what is in force")
    diff.add_argument("file")
    diff.set_defaults(run=commands.diff_config)
    check = actions.add_parser("check", parents=[common], help="check a host's settings file")
    check.add_argument("file")
    check.set_defaults(run=commands.check_config)
    apply = actions.add_parser("apply", parents=[common, waiting], help="make the edits of a file")
    apply.add_argument("file")
    apply.set_defaults(run=commands.apply_config)


def _add_servers(subparsers: argparse._SubParsersAction, common: argparse.ArgumentParser) -> None:
    actions = _command_group(subparsers, "server", "steer backend servers")
    drain = actions.add_parser("drain", parents=[common], help="give a server no new work")
    drain.add_argument("group")
    drain.add_argument("server")
    drain.add_argument("--restore", action="store_true", help="take it back into use")
    drain.set_defaults(run=commands.drain_server)
    switch = subparsers.add_parser("switch", parents=[common], help="move a group's primary")
    switch.add_argument("group")
    switch.add_argument("server", nargs="?", default="", help="default: the best candidate")
    switch.set_defaults(run=commands.switch_primary)


def _command_group(
    subparsers: argparse._SubParsersAction, name: str, text: str
) -> argparse._SubParsersAction:
    parser = subparsers.add_parser(name, help=text)
    return parser.add_subparsers(metavar="ACTION", required=True)


def _add_list(
    actions: argparse._SubParsersAction, common: argparse.ArgumentParser, kind: str
) -> None:
    listing = actions.add_parser("list", parents=[common], help=f"list the {kind}s")
    listing.set_defaults(run=commands.get_config, kind=kind, name="")


def _add_expected_version(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--expected-version",
        type=int,
        metavar="VERSION",
        help="version that the edit is based on (default: the one in force)",
    )


if __name__ == "__main__":
    sys.exit(main())
