"""The session proxy: caller sessions, server connections, peer exchange and store access."""

from figcrank.transport.streams._host import SessionHost as SessionHost
from figcrank.transport.streams._interfaces import FailoverService as FailoverService
from figcrank.transport.streams._interfaces import Store as Store
from figcrank.transport.streams._interfaces import StoreError as StoreError
from figcrank.transport.streams._interfaces import StoreErrorKind as StoreErrorKind
from figcrank.transport.streams._settings import SessionHostSettings as SessionHostSettings
