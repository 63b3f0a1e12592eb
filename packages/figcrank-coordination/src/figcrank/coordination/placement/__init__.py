"""Choice of the server and connection for a statement, and of the position a replica must have."""

from figcrank.coordination.placement._allotment import OwnerReport as OwnerReport
from figcrank.coordination.placement._allotment import SlotAllotment as SlotAllotment
from figcrank.coordination.placement._allotment import share_slots as share_slots
from figcrank.coordination.placement._cold_servers import ColdServers as ColdServers
from figcrank.coordination.placement._cold_servers import cold_share as cold_share
from figcrank.coordination.placement._concurrency import ConcurrencyLimit as ConcurrencyLimit
from figcrank.coordination.placement._connection_backoff import (
    ConnectionBackoff as ConnectionBackoff,
)
from figcrank.coordination.placement._connections import OwnerCounts as OwnerCounts
from figcrank.coordination.placement._connections import connection_quota as connection_quota
from figcrank.coordination.placement._connections import (
    group_connection_quota as group_connection_quota,
)
from figcrank.coordination.placement._connections import (
    max_retained_connections as max_retained_connections,
)
from figcrank.coordination.placement._connections import (
    max_retained_group_connections as max_retained_group_connections,
)
from figcrank.coordination.placement._health import ServerHealth as ServerHealth
from figcrank.coordination.placement._load_meter import LoadMeter as LoadMeter
from figcrank.coordination.placement._position_history import PositionHistory as PositionHistory
from figcrank.coordination.placement._ranking import Candidate as Candidate
from figcrank.coordination.placement._ranking import choose_between_best as choose_between_best
from figcrank.coordination.placement._ranking import rank as rank
from figcrank.coordination.placement._shared_latency import SharedLatency as SharedLatency
from figcrank.coordination.placement._shared_latency import remaining_share as remaining_share
from figcrank.coordination.placement._uses import Use as Use
from figcrank.coordination.placement._uses import UseTable as UseTable
