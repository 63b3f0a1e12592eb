"""What one host believes of the whole fleet."""

from figcrank.coordination.fleet._view import HOPELESS_MS as HOPELESS_MS
from figcrank.coordination.fleet._view import FleetView as FleetView
from figcrank.coordination.fleet._view import PrimaryUse as PrimaryUse
