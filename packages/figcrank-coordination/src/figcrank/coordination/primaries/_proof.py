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

from collections.abc import Collection

from figcrank.protocol.sessions import ServerReport
from figcrank.state._positions import Position

# The smallest group in which another server may have been promoted.
MIN_SERVERS = 2


def proven_position(reports: Collection[ServerReport | None]) -> Position | None:
    """Return the position that covers every commit acknowledged before a round of queries.

    :param reports: the report of each known server of the group, ``None`` for one that did not
        answer; queried after the round began.
    :returns: ``None`` if the reports prove nothing.
    """
    if len(reports) < MIN_SERVERS or None in reports:
        return None
    primaries = [report for report in reports if report.is_primary]
    if len(primaries) != 1:
        return None
    primary = primaries[0]
    if any(report.term > primary.term for report in reports):
        return None
    if primary.position is None or primary.position.term > primary.term:
        return None
    return primary.position
