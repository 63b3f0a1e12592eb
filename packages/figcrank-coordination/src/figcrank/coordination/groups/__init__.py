"""Owner-host side of a database group: connections, reads, writes, transactions, failover."""

from figcrank.coordination.groups._lost_commits import lost_transaction as lost_transaction
from figcrank.coordination.groups._lost_commits import settlement_outcome as settlement_outcome
from figcrank.coordination.groups._lost_commits import settling_request as settling_request
from figcrank.coordination.groups._open_transactions import group_of as group_of
from figcrank.coordination.groups._open_transactions import host_of as host_of
from figcrank.coordination.groups._owner import GroupOwner as GroupOwner
