"""Which server and connection a statement gets, and how fresh a replica must be."""

from figcrank.coordination.placement._concurrency import ConcurrencyLimit as ConcurrencyLimit
from figcrank.coordination.placement._connections import Waiter as Waiter
from figcrank.coordination.placement._connections import connection_quota as connection_quota
from figcrank.coordination.placement._connections import kept_connections as kept_connections
from figcrank.coordination.placement._connections import next_waiter as next_waiter
from figcrank.coordination.placement._freshness import FreshnessLog as FreshnessLog
from figcrank.coordination.placement._health import ServerHealth as ServerHealth
from figcrank.coordination.placement._servers import Candidate as Candidate
from figcrank.coordination.placement._servers import rank as rank
