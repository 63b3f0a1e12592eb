"""Owner-host side of a database group: connections, reads, writes, transactions, failover."""

from figcrank.coordination.groups._lost_commits import owner_lost_failure as owner_lost_failure
from figcrank.coordination.groups._lost_commits import settlement_outcome as settlement_outcome
from figcrank.coordination.groups._lost_commits import settling_request as settling_request
from figcrank.coordination.groups._open_transactions import (
    group_of_transaction as group_of_transaction,
)
from figcrank.coordination.groups._open_transactions import owner_host_of as owner_host_of
from figcrank.coordination.groups._owner import GroupOwner as GroupOwner
