"""Owners: the hosts that hold connections to backend servers and run the sessions of all callers.

A host that finds a free seat in its availability zone is an owner. The other hosts of a large fleet
are relays, which forward their callers' sessions to an owner.
"""

from figcrank.coordination.owners._directory import OwnerDirectory as OwnerDirectory
from figcrank.coordination.owners._failures import after_lost_owner as after_lost_owner
from figcrank.coordination.owners._group_owners import assign_groups as assign_groups
from figcrank.coordination.owners._group_owners import serving_zone as serving_zone
from figcrank.coordination.owners._group_owners import zone_distance as zone_distance
from figcrank.coordination.owners._held_state import HeldState as HeldState
from figcrank.coordination.owners._memory import OwnerMemory as OwnerMemory
from figcrank.coordination.owners._seats import HostRole as HostRole
from figcrank.coordination.owners._seats import Seat as Seat
from figcrank.coordination.owners._seats import choose_seat as choose_seat
from figcrank.coordination.owners._seats import has_free_seat as has_free_seat
from figcrank.coordination.owners._seats import is_listed as is_listed
from figcrank.coordination.owners._seats import seats_per_zone as seats_per_zone
from figcrank.coordination.owners._takeover import LostOwners as LostOwners
from figcrank.coordination.owners._takeover import seat_to_take_over as seat_to_take_over
