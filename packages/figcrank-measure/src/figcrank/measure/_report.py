"""The form of a measured figure."""

import operator
from collections.abc import Callable
from enum import StrEnum

import msgspec


class Limit(StrEnum):
    """How a value is held against its bound."""

    AT_MOST = "at_most"
    AT_LEAST = "at_least"
    REPORT = "report"


_COMPARE: dict[Limit, Callable[[float, float], bool]] = {
    Limit.AT_MOST: operator.le,
    Limit.AT_LEAST: operator.ge,
    Limit.REPORT: lambda value, bound: True,
}


class Measure(msgspec.Struct, frozen=True):
    """One line of the report.

    :param measure: name of the measure.
    :param scenario: what happened during the run.
    :param value: figure measured.
    :param unit: unit of value and bound.
    :param bound: target that the users stated.
    :param ok: whether the value is within the bound.
    """

    measure: str
    scenario: str
    value: float
    unit: str
    bound: float | None
    ok: bool

    @classmethod
    def from_value(
        cls, measure: str, scenario: str, value: float, unit: str, limit: Limit, bound: float = 0
    ) -> "Measure":
        """Return the line for a measured value."""
        ok = _COMPARE[limit](value, bound)
        return cls(measure, scenario, value, unit, None if limit is Limit.REPORT else bound, ok)
