"""Waiting until a stored change is in force at every live host."""

import time
from collections.abc import Callable

import eventlet
import msgspec

from figcrank.cli._ctl_client import OperatorClient
from figcrank.cli._ctl_errors import NotInForceError
from figcrank.cli._ctl_fleet import fleet_view
from figcrank.cli._ctl_output import Output

POLL_INTERVAL_S = 0.1


class InForce(msgspec.Struct, frozen=True):
    """The result of a wait.

    :param revision: revision that was waited for.
    :param waited_ms: how long it took.
    :param hosts: live hosts that have it.
    :param missing: live hosts and URLs that do not have it yet.
    """

    revision: int
    waited_ms: int
    hosts: tuple[str, ...]
    missing: tuple[str, ...]


def wait_in_force(
    client: OperatorClient,
    revision: int,
    timeout_s: float,
    output: Output,
    clock: Callable[[], float] = time.monotonic,
) -> InForce:
    """Ask until every live host has ``revision``.

    Live are the hosts that any asked host counts as alive or suspect. A host that does not answer
    at its URL counts as missing, unless another host reports it at the revision; its name is
    not known, so a URL that never answered counts until the end.

    :param timeout_s: longest wait, in seconds.
    :raises NotInForceError: if some host does not have it in time.
    """
    started_s = clock()
    while True:
        result = _look(client, revision, int((clock() - started_s) * 1_000))
        if not result.missing:
            return result
        if clock() - started_s >= timeout_s:
            break
        eventlet.sleep(POLL_INTERVAL_S)
    for name in result.missing:
        output.note(f"not there yet: {name}")
    raise NotInForceError(revision, timeout_s, result.missing)


def _look(client: OperatorClient, revision: int, waited_ms: int) -> InForce:
    view = fleet_view(client)
    reported = view.revisions()
    for asked in view.asked:
        if asked.host:
            reported[asked.host] = asked.config_revision
    silent = [asked.url for asked in view.asked if asked.problem]
    behind = [name for name, reported_revision in reported.items() if reported_revision < revision]
    reached = tuple(name for name in reported if name not in behind)
    return InForce(revision, waited_ms, reached, (*sorted(behind), *silent))
