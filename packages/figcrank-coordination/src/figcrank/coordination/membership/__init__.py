"""Membership of the fleet, and the assignment of groups and limits to live hosts."""

from figcrank.coordination.membership._membership import UNKNOWN_AGE_MS as UNKNOWN_AGE_MS
from figcrank.coordination.membership._membership import Membership as Membership
from figcrank.coordination.membership._placement import Placement as Placement
