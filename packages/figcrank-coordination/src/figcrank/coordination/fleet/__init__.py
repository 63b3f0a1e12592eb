"""The view that one host has of the whole fleet."""

from figcrank.coordination.fleet._configuration_age import DEFAULT_BOUND_MS as DEFAULT_BOUND_MS
from figcrank.coordination.fleet._configuration_age import ConfigurationAge as ConfigurationAge
from figcrank.coordination.fleet._configuration_age import (
    ConfigurationTimings as ConfigurationTimings,
)
from figcrank.coordination.fleet._view import LEASE_RENEWAL_TIMEOUT_MS as LEASE_RENEWAL_TIMEOUT_MS
from figcrank.coordination.fleet._view import FleetView as FleetView
from figcrank.coordination.fleet._view import PrimaryUse as PrimaryUse
