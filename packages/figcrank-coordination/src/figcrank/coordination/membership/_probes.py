"""Probes in flight, and the order in which hosts are probed."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from figcrank.state import Host, RandomSource

SEQ_BITS = 48


class ProbePurpose(StrEnum):
    """Reason for a probe.

    ``MEMBER`` probes check that a member is alive, and ``CANDIDATE`` probes check a host that may
    become a member. ``QUERY`` probes request a digest or a refutation; a missing answer has no
    consequence. ``RELAY`` probes are sent on behalf of another host.
    """

    MEMBER = "member"
    CANDIDATE = "candidate"
    QUERY = "question"
    RELAY = "relay"


@dataclass(frozen=True, slots=True)
class Probe:
    """A ping that has not been acknowledged.

    :param seq: unpredictable number, so that an old acknowledgement matches no probe.
    :param host: the probed host.
    :param purpose: reason for the probe.
    :param sent_ms: time of sending, in milliseconds.
    :param origin: host that requested a relayed probe, empty if none.
    :param origin_seq: number of the probe at the requesting host.
    """

    seq: int
    host: Host
    purpose: ProbePurpose
    sent_ms: int
    origin: str = ""
    origin_seq: int = 0


class ProbeList:
    """The probes in flight.

    :param random: random source for the sequence numbers.
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._probes: dict[int, Probe] = {}
        self._tried_indirectly: set[int] = set()

    def open(
        self,
        host: Host,
        purpose: ProbePurpose,
        now_ms: int,
        origin: str = "",
        origin_seq: int = 0,
    ) -> Probe:
        """Create and return a new probe of ``host``."""
        seq = self._random.getrandbits(SEQ_BITS)
        probe = Probe(seq, host, purpose, now_ms, origin, origin_seq)
        self._probes[seq] = probe
        return probe

    def find(self, seq: int) -> Probe | None:
        """Return the probe in flight with the number ``seq``."""
        return self._probes.get(seq)

    def close(self, seq: int) -> None:
        """Remove a probe."""
        self._probes.pop(seq, None)
        self._tried_indirectly.discard(seq)

    def clear(self) -> None:
        """Remove all probes."""
        self._probes.clear()
        self._tried_indirectly.clear()

    def take_due_for_indirect(self, timeout_ms: int, now_ms: int) -> tuple[Probe, ...]:
        """Return the member probes without an answer after ``timeout_ms``, each only once."""
        due = [
            probe
            for probe in self._probes.values()
            if probe.purpose is ProbePurpose.MEMBER
            and probe.seq not in self._tried_indirectly
            and now_ms - probe.sent_ms >= timeout_ms
        ]
        self._tried_indirectly.update(probe.seq for probe in due)
        return tuple(due)

    def take_failed(self, timeout_ms: int, now_ms: int) -> tuple[Probe, ...]:
        """Remove and return the probes that were not answered within ``timeout_ms``."""
        late = [p for p in self._probes.values() if now_ms - p.sent_ms >= timeout_ms]
        for probe in late:
            self.close(probe.seq)
        return tuple(late)


class ProbeRotation:
    """Iterates over names in round-robin order, shuffled in each round.

    :param random: random source for the shuffles.
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._remaining: list[str] = []

    def next(self, names: Iterable[str]) -> str | None:
        """Return the next name; each round returns every name once."""
        present = sorted(names)
        if not present:
            return None
        self._remaining = [name for name in self._remaining if name in present]
        if not self._remaining:
            self._remaining = shuffled(present, self._random)
        return self._remaining.pop()


def shuffled(names: Iterable[str], random: RandomSource) -> list[str]:
    """Return ``names`` in random order."""
    keyed = [(random.random(), name) for name in names]
    return [name for _, name in sorted(keyed)]
