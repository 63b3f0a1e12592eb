"""The right to order promotions, which the holder of the record of primaries has.

The failover service does not compare fencing tokens, so hosts must not let a call arrive after one
with a higher token. Three times bound a call:

* It is sent within ``PROMOTION_WINDOW_MS`` of the time at which the holder began the write that
  confirmed it as the holder.
* It is reset if it has no response after ``PROMOTION_CALL_TIMEOUT_MS``, so that it can't arrive
  later.
* A new holder orders promotions only ``TAKEOVER_WAIT_MS`` after its claim was acknowledged, for any
  group. Each confirmation of the previous holder was written before that claim.

A host is the holder only if a claim of this process was acknowledged in the store's present era. A
claim without a response may have been executed, or be executed later, and a store that came back
from an older copy may have lost a later claim. A host that finds its own name in the record without
such a claim takes it over like any other.
"""

from collections.abc import Mapping, Set
from dataclasses import dataclass, replace

from figcrank.protocol.heartbeats import PrimaryRecord, StoredPrimaries
from figcrank.state import era_of

PROMOTION_WINDOW_MS = 500  # twice the response time of a slow store
PROMOTION_CALL_TIMEOUT_MS = 400  # a slow failover service responds in 250 ms
PROMOTION_EFFECT_MS = 1_000  # from an order until the server is primary, at most
TRANSIT_MARGIN_MS = 200  # for a call that arrived just before it was reset
TAKEOVER_WAIT_MS = PROMOTION_WINDOW_MS + PROMOTION_CALL_TIMEOUT_MS + TRANSIT_MARGIN_MS


@dataclass(frozen=True, slots=True)
class PromotionRight:
    """A host's right to order promotions, as of one write of the record of primaries.

    :param holder: name of the host.
    :param token: fencing token to send with each order.
    :param renewed_ms: time at which the host began the write.
    :param not_before_ms: time from which it may order promotions.
    """

    holder: str
    token: int
    renewed_ms: int
    not_before_ms: int

    def permits(self, now_ms: int) -> bool:
        """Return whether a promotion may be sent now."""
        return self.not_before_ms <= now_ms <= self.renewed_ms + PROMOTION_WINDOW_MS

    def needs_renewal(self, now_ms: int) -> bool:
        """Return whether too little of the window is left to connect and send an order."""
        return now_ms - self.renewed_ms > PROMOTION_WINDOW_MS // 2


@dataclass(frozen=True, slots=True)
class _Tenure:
    """The time since an acknowledged claim.

    :param revision: revision at which the claim was stored.
    :param token: token of the tenure, which the next write stores.
    :param not_before_ms: time from which promotions may be ordered.
    """

    revision: int
    token: int
    not_before_ms: int


class RecordHolder:
    """Whether this host is the holder of the record of primaries, for all groups together.

    :param host: name of this host.
    """

    def __init__(self, host: str) -> None:
        self._host = host
        self._tenure: _Tenure | None = None

    def holds(self, stored: StoredPrimaries) -> bool:
        """Return whether the record shows this host as the holder by its acknowledged claim."""
        tenure = self._tenure
        if tenure is None or stored.holder != self._host:
            return False
        if era_of(stored.revision) != era_of(tenure.revision):
            return False
        return stored.revision == tenure.revision or stored.token == tenure.token

    def claim(
        self,
        stored: StoredPrimaries,
        group: str,
        record: PrimaryRecord,
        renews: bool,
        members: Set[str] = frozenset(),
    ) -> StoredPrimaries | None:
        """Return what to write to the store, ``None`` if another host runs the replacement.

        Every write is conditional on the revision, so only one host is the holder at a time. A host
        that is no longer the holder never renews a replacement, because the new holder may already
        have ordered a promotion.

        :param stored: the current content of the store.
        :param record: the record to write for the group.
        :param renews: whether the host has already written the group's record and only confirms it.
        :param members: the group's members that this host knows. During a replacement they are
            added to those in the store, which the next replacement after an interruption needs.
        """
        if renews and not self.holds(stored):
            return None
        known = stored.records.get(group)
        if known is not None and known.version > record.version:
            return None
        is_own_write = known == record and stored.holder == self._host
        if known is not None and known.version == record.version and not is_own_write:
            return None
        records = {**stored.records, group: record}
        wanted = replace(self.take_over(stored), records=records)
        if record.moving:
            members = members | stored.members.get(group, frozenset())
        return _with_members(wanted, group, members) if members else wanted

    def record_members(
        self, stored: StoredPrimaries, group: str, members: Set[str]
    ) -> StoredPrimaries | None:
        """Return what to write to the store to record a group's members, ``None`` if it must wait.

        Members are not written while any primary is being replaced, as that would end the
        replacement of a host that is the holder.
        """
        if any(record.moving for record in stored.records.values()):
            return None
        return _with_members(self.take_over(stored), group, members)

    def settle(
        self, stored: StoredPrimaries, records: Mapping[str, PrimaryRecord]
    ) -> StoredPrimaries | None:
        """Return what to write to the store to settle groups' records, ``None`` if not the holder.

        A group whose stored record has become as new meanwhile keeps it.

        :param stored: the current content of the store.
        :param records: the settled records by group.
        """
        if not self.holds(stored):
            return None
        kept = {
            group: known
            for group, known in stored.records.items()
            if group not in records or known.version >= records[group].version
        }
        return replace(self.take_over(stored), records={**stored.records, **records, **kept})

    def take_over(self, stored: StoredPrimaries) -> StoredPrimaries:
        """Return what to write to the store to become or remain the holder.

        :param stored: the current content of the store.
        """
        token = self._tenure.token if self._tenure and self.holds(stored) else stored.token + 1
        return replace(stored, holder=self._host, token=token)

    def record_write(
        self, stored: StoredPrimaries, written: StoredPrimaries, sent_ms: int, now_ms: int
    ) -> PromotionRight:
        """Record an acknowledged write and return the right that it confirms.

        The token of a claim is the revision at which it was stored: the store gives out each
        revision once, in increasing order.

        :param stored: the content that the write replaced.
        :param written: the content that the store acknowledged.
        :param sent_ms: time at which the write began.
        """
        if not self.holds(stored):
            token = max(written.revision, written.token)
            not_before_ms = now_ms + TAKEOVER_WAIT_MS
            self._tenure = _Tenure(written.revision, token, not_before_ms)
        return PromotionRight(self._host, self._tenure.token, sent_ms, self._tenure.not_before_ms)


def _with_members(stored: StoredPrimaries, group: str, members: Set[str]) -> StoredPrimaries:
    return replace(stored, members={**stored.members, group: frozenset(members)})
