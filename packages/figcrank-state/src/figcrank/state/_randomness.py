"""The random source that decisions are given; :class:`random.Random` is one."""

from typing import Protocol


class RandomSource(Protocol):
    """A source of random numbers, seeded by whoever drives the core."""

    def random(self) -> float:
        """Return a number that is at least 0 and below 1."""
        ...

    def getrandbits(self, bits: int, /) -> int:
        """Return a non-negative integer of ``bits`` random bits."""
        ...
