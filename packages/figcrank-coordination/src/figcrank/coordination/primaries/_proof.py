"""The position that a group's servers themselves prove, for a host without a lease.

A host that reaches neither a majority of the owners nor the store does not know whether a primary
was replaced. The servers do: a promoted server reports that it is the primary, and a replica that
follows one of a later term reports that term. If, in a round of status queries, one server reports
to be the primary and every other one to be a replica of no later term, no other server had been
promoted when the round began. The primary's position, reported within the round, therefore covers
every commit that was acknowledged before the round began.

This proves nothing about the time after the round, so it permits bounded reads at replicas, not
statements at the primary.
"""

from collections.abc import Collection, Mapping
from typing import TypeVar

from figcrank.protocol.sessions import ServerReport
from figcrank.state._positions import Position

# The smallest group in which another server may have been promoted.
MIN_SERVERS = 2
Server = TypeVar("Server")


def proven_position(reports: Collection[ServerReport | None]) -> Position | None:
    """Return the position that covers every commit acknowledged before a round of queries.

    :param reports: the report of each known server of the group, ``None`` for one that did not
        answer; queried after the round began.
    :returns: ``None`` if the reports prove nothing.
    """
    primary = proven_primary(dict(enumerate(reports)))
    if len(reports) < MIN_SERVERS or primary is None:
        return None
    if sum(report.is_primary for report in reports) > 1:
        return None
    _, report = primary
    if report.position is None or report.position.term > report.term:
        return None
    return report.position


def proven_primary(
    reports: Mapping[Server, ServerReport | None],
) -> tuple[Server, ServerReport] | None:
    """Return the group's newest primary, such that no other server had been promoted after it.

    A primary of an earlier term was replaced and can't reach the newest one yet.

    :param reports: by server, as for :func:`proven_position`.
    :returns: the server and its report, ``None`` if the reports don't prove it.
    """
    if not reports or None in reports.values():
        return None
    return newest_primary(reports)


def newest_primary(
    reports: Mapping[Server, ServerReport | None],
) -> tuple[Server, ServerReport] | None:
    """Return the primary of the newest term, of the servers that answered.

    :param reports: by server, ``None`` for one that did not answer.
    :returns: the server and its report, ``None`` unless the newest term has exactly one primary.
    """
    answered = {server: report for server, report in reports.items() if report is not None}
    newest_term = max((report.term for report in answered.values()), default=0)
    newest = [
        (server, report)
        for server, report in answered.items()
        if report.is_primary and report.term == newest_term
    ]
    return newest[0] if len(newest) == 1 else None
