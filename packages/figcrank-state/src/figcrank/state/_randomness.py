"""The random source interface; :class:`random.Random` implements it."""

from typing import Protocol


class RandomSource(Protocol):
    """A source of random numbers, created and seeded by the driver of the core."""

    def random(self) -> float:
        """Return a number in the range [0, 1)."""
        ...

    def getrandbits(self, bits: int, /) -> int:
        """Return a non-negative integer with ``bits`` random bits."""
        ...
