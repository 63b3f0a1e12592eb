"""Which hosts are alive, and which of them own a group or are home to a limit."""

from figcrank.coordination.membership._membership import UNKNOWN_AGE_MS as UNKNOWN_AGE_MS
from figcrank.coordination.membership._membership import Membership as Membership
from figcrank.coordination.membership._placement import Placement as Placement
