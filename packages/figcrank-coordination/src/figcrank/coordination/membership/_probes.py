"""Probes in flight and whose turn it is to be probed."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from figcrank.state import Host, RandomSource

SEQ_BITS = 48


class ProbePurpose(StrEnum):
    """Why a probe was sent."""

    MEMBER = "member"
    CANDIDATE = "candidate"
    QUESTION = "question"
    RELAY = "relay"


@dataclass(frozen=True, slots=True)
class Probe:
    """A ping that waits for its acknowledgement.

    :param seq: unpredictable number, so that an old acknowledgement matches no probe.
    :param host: the host probed.
    :param purpose: why it is probed.
    :param sent_ms: time of sending, in milliseconds.
    :param origin: host that asked for a relayed probe, empty if none.
    :param origin_seq: number that the asking host knows the probe by.
    """

    seq: int
    host: Host
    purpose: ProbePurpose
    sent_ms: int
    origin: str = ""
    origin_seq: int = 0


class ProbeList:
    """The probes in flight.

    :param random: random source for the numbers.
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._probes: dict[int, Probe] = {}
        self._relayed: set[int] = set()

    def open(
        self,
        host: Host,
        purpose: ProbePurpose,
        now_ms: int,
        origin: str = "",
        origin_seq: int = 0,
    ) -> Probe:
        """Return a new probe of ``host``."""
        seq = self._random.getrandbits(SEQ_BITS)
        probe = Probe(seq, host, purpose, now_ms, origin, origin_seq)
        self._probes[seq] = probe
        return probe

    def find(self, seq: int) -> Probe | None:
        """Return the probe in flight with that number."""
        return self._probes.get(seq)

    def close(self, seq: int) -> None:
        """Forget a probe."""
        self._probes.pop(seq, None)
        self._relayed.discard(seq)

    def clear(self) -> None:
        """Forget every probe."""
        self._probes.clear()
        self._relayed.clear()

    def take_unanswered(self, timeout_ms: int, now_ms: int) -> tuple[Probe, ...]:
        """Return the probes that are due for an indirect try, each of them once."""
        due = [
            probe
            for probe in self._probes.values()
            if probe.purpose is ProbePurpose.MEMBER
            and probe.seq not in self._relayed
            and now_ms - probe.sent_ms >= timeout_ms
        ]
        self._relayed.update(probe.seq for probe in due)
        return tuple(due)

    def take_failed(self, timeout_ms: int, now_ms: int) -> tuple[Probe, ...]:
        """Remove and return the probes that nobody answered within ``timeout_ms``."""
        late = [p for p in self._probes.values() if now_ms - p.sent_ms >= timeout_ms]
        for probe in late:
            self.close(probe.seq)
        return tuple(late)


class Rotation:
    """Visits names in shuffled round-robin order.

    :param random: random source for the shuffles.
    """

    def __init__(self, random: RandomSource) -> None:
        self._random = random
        self._left: list[str] = []

    def next(self, names: Iterable[str]) -> str | None:
        """Return the next name; one round visits every name once."""
        present = sorted(names)
        if not present:
            return None
        self._left = [name for name in self._left if name in present]
        if not self._left:
            self._left = shuffled(present, self._random)
        return self._left.pop()


def shuffled(names: Iterable[str], random: RandomSource) -> list[str]:
    """Return ``names`` in random order."""
    keyed = [(random.random(), name) for name in names]
    return [name for _, name in sorted(keyed)]
