"""Which other hosts are alive, and how recent what they say is."""

from figcrank.coordination.peers._changes import ChangeLog as ChangeLog
from figcrank.coordination.peers._table import FORGET_MS as FORGET_MS
from figcrank.coordination.peers._table import Peer as Peer
from figcrank.coordination.peers._table import PeerTable as PeerTable
