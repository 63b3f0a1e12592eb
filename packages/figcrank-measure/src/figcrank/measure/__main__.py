"""Prints every measure as one JSON object a line; exits with 1 if a bound is broken."""

import sys
from collections.abc import Callable, Iterator

import msgspec

from figcrank.measure._configuration import config_in_force, key_withdrawal, platform_calls
from figcrank.measure._control_cost import control_cost
from figcrank.measure._group_cost import group_cost
from figcrank.measure._groups import measures as group_measures
from figcrank.measure._limits import limits
from figcrank.measure._report import Measure

SOURCES: tuple[Callable[[], Iterator[Measure]], ...] = (
    group_measures,
    limits,
    config_in_force,
    key_withdrawal,
    platform_calls,
    control_cost,
    group_cost,
)


def main() -> int:
    """Run every measure and return the exit status."""
    all_ok = True
    for source in SOURCES:
        for measure in source():
            print(msgspec.json.encode(measure).decode(), flush=True)
            all_ok = all_ok and measure.ok
    return 0 if all_ok else 1


if __name__ == "__main__":
    sys.exit(main())
