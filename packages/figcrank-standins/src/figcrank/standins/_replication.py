"""Copying log entries between servers."""

import collections
import time
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any, BinaryIO

import eventlet
import greenlet
import msgspec
from eventlet.green import socket

from figcrank.standins._log import ReplicationBatch
from figcrank.standins._server_model import ServerModel
from figcrank.standins._signal import Signal
from figcrank.state import Position, ServerRole

FETCH_WAIT_MS = 200
FETCH_TIMEOUT_MS = 1_000
RETRY_MS = 5
IDLE_WAIT_MS = 200


class FetchRequest(msgspec.Struct, frozen=True):
    """A replica's request for entries, one line of JSON.

    :param term: term in which the replica follows.
    :param after: position of its last entry.
    :param wait_ms: longest wait for new entries, in milliseconds.
    """

    term: int
    after: Position
    wait_ms: int


_request_decoder = msgspec.json.Decoder(FetchRequest)
_batch_decoder = msgspec.json.Decoder(ReplicationBatch | None)


class EntrySource(ABC):
    """Another server, from which entries may be fetched; a fetch may be killed at any time."""

    @abstractmethod
    def fetch(self, request: FetchRequest) -> ReplicationBatch | None:
        """Return entries, ``None`` if the server is not primary of the term or out of reach."""


class EntryFeed(EntrySource):
    """The entries of a server in this process.

    :param model: the server.
    :param changed: notified when the server changes.
    :param is_partitioned: tells whether nothing may be replicated.
    """

    def __init__(
        self, model: ServerModel, changed: Signal, is_partitioned: Callable[[], bool]
    ) -> None:
        self._model = model
        self._changed = changed
        self._is_partitioned = is_partitioned

    def fetch(self, request: FetchRequest) -> ReplicationBatch | None:
        deadline = time.monotonic() + request.wait_ms / 1_000
        batch = self._model.entries_after(request.term, request.after)
        while batch is not None and not batch.entries and time.monotonic() < deadline:
            self._changed.wait(_remaining_ms(deadline))
            batch = self._model.entries_after(request.term, request.after)
        return None if self._is_partitioned() else batch


class RemoteSource(EntrySource):
    """The entries of a server in another process.

    :param address: ``ip:port`` that the server listens on.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._address = (host, int(port))
        self._socket: Any = None
        self._reader: BinaryIO | None = None

    def fetch(self, request: FetchRequest) -> ReplicationBatch | None:
        try:
            return self._exchange(request)
        except (OSError, msgspec.DecodeError):
            self._disconnect()
            return None
        except greenlet.GreenletExit:
            self._disconnect()
            raise

    def _exchange(self, request: FetchRequest) -> ReplicationBatch | None:
        if self._socket is None:
            self._connect()
        self._socket.sendall(msgspec.json.encode(request) + b"\n")
        line = self._reader.readline()
        if not line:
            self._disconnect()
            return None
        return _batch_decoder.decode(line)

    def _connect(self) -> None:
        self._socket = socket.create_connection(self._address, FETCH_TIMEOUT_MS / 1_000)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._reader = self._socket.makefile("rb")

    def _disconnect(self) -> None:
        if self._socket is not None:
            self._socket.close()
        self._socket = None
        self._reader = None


def serve_entries(feed: EntryFeed, first_byte: bytes, reader: BinaryIO, sock: Any) -> None:
    """Answer the fetch requests of one connection until it ends.

    :param first_byte: what was read of the first line already.
    """
    line = first_byte + reader.readline()
    while line:
        batch = feed.fetch(_request_decoder.decode(line))
        sock.sendall(msgspec.json.encode(batch) + b"\n")
        line = reader.readline()


class Replicator:
    """Keeps a server's log and database up with its primary.

    :param model: the server.
    :param changed: notified when the server changes.
    :param sources: the other servers by name.
    :param lag_ms: tells the time between holding an entry and applying it, in milliseconds.
    :param is_partitioned: tells whether nothing may be replicated.
    """

    def __init__(
        self,
        model: ServerModel,
        changed: Signal,
        sources: dict[str, EntrySource],
        lag_ms: Callable[[], int],
        is_partitioned: Callable[[], bool],
    ) -> None:
        self._model = model
        self._changed = changed
        self._sources = sources
        self._lag_ms = lag_ms
        self._is_partitioned = is_partitioned
        self._due: collections.deque[_DueApply] = collections.deque()
        self._held = Signal()
        self._fetching: Any = None
        self._applying: Any = None

    def start(self) -> None:
        """Begin to fetch and to apply."""
        self._fetching = eventlet.spawn(self._run_fetch)
        self._applying = eventlet.spawn(self._run_apply)

    def stop(self) -> None:
        """Stop for good."""
        self._fetching.kill()
        self._applying.kill()

    def reset(self) -> None:
        """Turn to the present primary at once, giving up a fetch from an earlier one."""
        self._fetching.kill()
        self._fetching = eventlet.spawn(self._run_fetch)

    def _run_fetch(self) -> None:
        while True:
            if not self._can_fetch():
                self._changed.wait(IDLE_WAIT_MS)
            elif not self._fetch_once():
                eventlet.sleep(RETRY_MS / 1_000)

    def _run_apply(self) -> None:
        while True:
            if not self._due:
                self._held.wait(IDLE_WAIT_MS)
                continue
            wait_s = self._due[0].due - time.monotonic()
            if wait_s > 0:
                eventlet.sleep(wait_s)
                continue
            self._model.apply_up_to(self._due.popleft().offset)
            self._changed.notify()

    def _can_fetch(self) -> bool:
        is_replica = self._model.role is ServerRole.REPLICA
        return is_replica and self._model.primary in self._sources

    def _fetch_once(self) -> bool:
        term, after = self._model.term, self._model.fetch_from()
        source = self._sources[self._model.primary]
        batch = source.fetch(FetchRequest(term, after, FETCH_WAIT_MS))
        if batch is None or self._is_partitioned():
            return False
        self._model.accept(batch, term)
        if self._model.fetch_from() != after:
            self._schedule_apply()
            self._changed.notify()
        return True

    def _schedule_apply(self) -> None:
        offset = self._model.fetch_from().offset
        lag_ms = self._lag_ms()
        if lag_ms <= 0 and not self._due:
            self._model.apply_up_to(offset)
            return
        self._due.append(_DueApply(time.monotonic() + lag_ms / 1_000, offset))
        self._held.notify()


class _DueApply(msgspec.Struct, frozen=True):
    due: float
    offset: int


def _remaining_ms(deadline: float) -> int:
    return max(1, int((deadline - time.monotonic()) * 1_000))
