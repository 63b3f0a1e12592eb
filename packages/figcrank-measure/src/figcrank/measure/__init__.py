"""Measures of the decision cores on a virtual clock, from fixed seeds."""

from figcrank.measure._report import Limit as Limit
from figcrank.measure._report import Measure as Measure
