"""Evacuation of availability zones: which servers may be used when, and when it is done."""

from figcrank.coordination.evacuation._entries import EvacuationEntry as EvacuationEntry
from figcrank.coordination.evacuation._entries import EvacuationListing as EvacuationListing
from figcrank.coordination.evacuation._entries import check_entries as check_entries
from figcrank.coordination.evacuation._lists import is_provisional as is_provisional
from figcrank.coordination.evacuation._lists import merge_lists as merge_lists
from figcrank.coordination.evacuation._lists import provisional_list as provisional_list
from figcrank.coordination.evacuation._zones import EvacuationChange as EvacuationChange
from figcrank.coordination.evacuation._zones import ZoneEvacuations as ZoneEvacuations
from figcrank.coordination.evacuation._zones import ZoneUse as ZoneUse
from figcrank.coordination.evacuation._zones import completed_zones as completed_zones
from figcrank.coordination.evacuation._zones import refusal_detail as refusal_detail
