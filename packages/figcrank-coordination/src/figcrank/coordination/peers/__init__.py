"""The other hosts: which of them are live, and how old the state they report is."""

from figcrank.coordination.peers._changes import ChangeTracker as ChangeTracker
from figcrank.coordination.peers._table import REMOVAL_CANDIDATE_MS as REMOVAL_CANDIDATE_MS
from figcrank.coordination.peers._table import Peer as Peer
from figcrank.coordination.peers._table import PeerTable as PeerTable
from figcrank.coordination.peers._view_fetches import ViewFetches as ViewFetches
