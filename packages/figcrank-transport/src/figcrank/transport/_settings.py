"""Loads and validates settings files, which are JSON5."""

import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import json5
import msgspec

from figcrank.coordination import CoreSettings, Timings
from figcrank.protocol import SettingProblem, SettingsError
from figcrank.state import Group, Host
from figcrank.transport._addresses import split_address
from figcrank.transport._checking import find_problems, make_problem
from figcrank.transport._psycopg import Login

MIN_SECRET_CHARS = 16
MAX_DRAIN_MS = 600_000
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
_SYNTAX_LINE = re.compile(r"^[^:]*:(\d+) ")
_ADDRESS_EXPECTED = "an address ip:port"


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Identity and listen addresses of this host.

    :param name: unique name.
    :param availability_zone: availability zone that the host runs in.
    :param caller_address: ``ip:port`` of the caller API.
    :param operator_address: ``ip:port`` of the operator API.
    :param peer_address: ``ip:port`` of the peer API, for requests from other hosts.
    :param gossip_address: ``ip:port`` for gossip over UDP.
    :param cell: name of the gossip cell.
    """

    name: str
    availability_zone: str
    caller_address: str
    operator_address: str
    peer_address: str
    gossip_address: str
    cell: str = "cell-1"


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a host process.

    :param fleet: name of the fleet.
    :param host: this host.
    :param platform_address: ``ip:port`` of the platform's object API.
    :param secrets: shared secrets of the fleet, newest first, which sign tokens and messages.
    :param groups: database groups.
    :param operator_keys: keys that the operator API accepts.
    :param peers: initial hosts to contact.
    :param owners_per_group: number of owner hosts of each group.
    :param login: credentials for backend servers.
    :param timings: intervals and limits of the control protocols.
    :param statsd_address: ``ip:port`` of a statsd server; empty for none.
    :param trace_file: file for spans in JSON Lines format; empty for none.
    :param decision_file: file for decisions in JSON Lines format; empty for the process log.
    :param drain_ms: maximum duration of a graceful shutdown, in milliseconds.
    """

    fleet: str
    host: HostSettings
    platform_address: str
    secrets: tuple[str, ...]
    groups: tuple[Group, ...]
    operator_keys: tuple[str, ...]
    peers: tuple[Host, ...] = ()
    owners_per_group: int = 2
    login: Login = field(default_factory=Login)
    timings: Timings = field(default_factory=Timings)
    statsd_address: str = ""
    trace_file: str = ""
    decision_file: str = ""
    drain_ms: int = 30_000

    @classmethod
    def from_file(cls, path: str) -> "Settings":
        """Read a settings file.

        :raises SettingsError: if the settings are invalid; lists every problem.
        """
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            problem = SettingProblem("(file)", type(error).__name__, "a readable UTF-8 file")
            raise SettingsError(path, (problem,)) from error
        return cls.from_text(text, path)

    @classmethod
    def from_text(cls, text: str, source: str) -> "Settings":
        """Parse the text of a settings file.

        :param source: name of the file, for errors.
        :raises SettingsError: if the settings are invalid; lists every problem.
        """
        try:
            config = json5.loads(text, allow_duplicate_keys=False)
        except (ValueError, RecursionError) as error:
            raise SettingsError(source, (_syntax_problem(error),)) from error
        return cls.from_config(config, source)

    @classmethod
    def from_config(cls, config: Any, source: str) -> "Settings":
        """Validate decoded JSON and return the settings.

        :param config: decoded JSON value.

        :param source: name of the file, for errors.
        :raises SettingsError: if the settings are invalid; lists every problem.
        """
        problems = find_problems(config, cls)
        if problems:
            raise SettingsError(source, tuple(problems))
        settings = msgspec.convert(config, cls, strict=True)
        problems = _semantic_problems(settings)
        if problems:
            raise SettingsError(source, tuple(problems))
        return settings

    def core_settings(self, peer_address: str, gossip_address: str) -> CoreSettings:
        """Return the settings of the host core.

        :param peer_address: bound ``ip:port`` of the peer API, which differs if port 0 is set.
        :param gossip_address: bound ``ip:port`` for gossip, which differs if port 0 is set.
        """
        host = Host(
            self.host.name,
            self.host.availability_zone,
            gossip_address,
            peer_address,
            self.host.cell,
        )
        return CoreSettings(
            self.fleet, host, self.peers, self.groups, self.owners_per_group, self.timings
        )


def _syntax_problem(error: Exception) -> SettingProblem:
    match = _SYNTAX_LINE.match(str(error))
    line = f"line {match.group(1)}" if match else "(file)"
    return SettingProblem(line, str(error), "valid JSON5")


def _semantic_problems(settings: Settings) -> list[SettingProblem]:
    problems = []
    problems += _address_problems(settings)
    problems += _name_problems(settings)
    problems += _group_problems(settings.groups)
    problems += _secret_problems(settings)
    if not 0 < settings.drain_ms <= MAX_DRAIN_MS:
        problems.append(make_problem("drain_ms", settings.drain_ms, f"1 to {MAX_DRAIN_MS}"))
    if settings.owners_per_group < 1:
        problems.append(make_problem("owners_per_group", settings.owners_per_group, "1 or more"))
    for name in Timings.__dataclass_fields__:
        value = getattr(settings.timings, name)
        if value < 1:
            problems.append(make_problem(f"timings.{name}", value, "1 or more"))
    return problems


def _address_problems(settings: Settings) -> list[SettingProblem]:
    addresses = {"platform_address": settings.platform_address}
    for name in ("caller_address", "operator_address", "peer_address", "gossip_address"):
        addresses[f"host.{name}"] = getattr(settings.host, name)
    for index, peer in enumerate(settings.peers):
        addresses[f"peers[{index}].gossip_address"] = peer.gossip_address
        addresses[f"peers[{index}].peer_address"] = peer.peer_address
    for index, group in enumerate(settings.groups):
        for number, server in enumerate(group.servers):
            addresses[f"groups[{index}].servers[{number}].address"] = server.address
    if settings.statsd_address:
        addresses["statsd_address"] = settings.statsd_address
    invalid = {path: address for path, address in addresses.items() if not _is_address(address)}
    return [make_problem(path, address, _ADDRESS_EXPECTED) for path, address in invalid.items()]


def _is_address(text: str) -> bool:
    try:
        split_address(text)
    except ValueError:
        return False
    return True


def _name_problems(settings: Settings) -> list[SettingProblem]:
    names = {"fleet": settings.fleet, "host.name": settings.host.name}
    names |= {f"peers[{i}].name": peer.name for i, peer in enumerate(settings.peers)}
    names |= {f"groups[{i}].name": group.name for i, group in enumerate(settings.groups)}
    expected = "1 to 63 letters, digits, '.', '_' or '-', starting with a letter or digit"
    invalid = {path: name for path, name in names.items() if not _NAME.fullmatch(name)}
    return [make_problem(path, name, expected) for path, name in invalid.items()]


def _group_problems(groups: tuple[Group, ...]) -> list[SettingProblem]:
    problems = []
    if not groups:
        problems.append(make_problem("groups", [], "at least one group"))
    if len({group.name for group in groups}) < len(groups):
        problems.append(make_problem("groups", [group.name for group in groups], "unique names"))
    for index, group in enumerate(groups):
        path = f"groups[{index}]"
        names = [server.name for server in group.servers]
        if len(names) % 2 == 0:
            problems.append(make_problem(f"{path}.servers", len(names), "an odd number of servers"))
        if len(set(names)) < len(names):
            problems.append(make_problem(f"{path}.servers", names, "unique names"))
        for name in ("slots_per_server", "connections_per_server"):
            if getattr(group, name) < 1:
                problems.append(make_problem(f"{path}.{name}", getattr(group, name), "1 or more"))
    return problems


def _secret_problems(settings: Settings) -> list[SettingProblem]:
    problems = []
    expected = f"one or more strings of at least {MIN_SECRET_CHARS} characters"
    for path in ("secrets", "operator_keys"):
        texts = getattr(settings, path)
        if not texts or any(len(text) < MIN_SECRET_CHARS for text in texts):
            problems.append(make_problem(path, None, expected))
    return problems
