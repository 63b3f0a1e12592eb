"""Wait until a stored change is in force at every live host."""

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
    """Result of a wait.

    :param revision: expected configuration revision.
    :param waited_ms: elapsed time.
    :param hosts: live hosts that have the revision.
    :param missing: live hosts without the revision, and URLs that do not respond.
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
    """Poll the hosts until every live host has ``revision``.

    A host is live if any queried host reports it as alive or suspect. A URL that does not respond
    counts as missing until it responds: the name of its host is unknown, so the reports of other
    hosts cannot be matched to it.

    :param timeout_s: maximum wait, in seconds.
    :raises NotInForceError: if a live host does not have the revision in time.
    """
    started_s = clock()
    while True:
        result = _check_hosts(client, revision, int((clock() - started_s) * 1_000))
        if not result.missing:
            return result
        if clock() - started_s >= timeout_s:
            break
        eventlet.sleep(POLL_INTERVAL_S)
    for name in result.missing:
        output.note(f"not yet in force at {name}")
    raise NotInForceError(revision, timeout_s, result.missing)


def _check_hosts(client: OperatorClient, revision: int, waited_ms: int) -> InForce:
    view = fleet_view(client)
    reported = view.revisions()
    for asked in view.asked:
        if asked.host:
            reported[asked.host] = asked.config_revision
    unanswered = [asked.url for asked in view.asked if asked.problem]
    behind = [name for name, reported_revision in reported.items() if reported_revision < revision]
    reached = tuple(name for name in reported if name not in behind)
    return InForce(revision, waited_ms, reached, (*sorted(behind), *unanswered))
