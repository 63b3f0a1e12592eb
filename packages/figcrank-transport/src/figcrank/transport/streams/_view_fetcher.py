"""Fetches from peers the configuration and the lists that this host lacks."""

import json
import zlib
from collections.abc import Callable

import eventlet
from eventlet.green.http import client as http_client

from figcrank.coordination.fleet import FleetView
from figcrank.coordination.peers import ViewFetches
from figcrank.protocol.decoding import DECODE_ERRORS
from figcrank.protocol.heartbeats import NEVER_MS, Heartbeat
from figcrank.state._clock import Clock
from figcrank.transport.streams._counted_http import CountedHttpConnection
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._traffic import TrafficChannel

# A packed configuration of several megabytes over a link of 10 Mbit/s; a peer that does not accept
# the connection is given up sooner.
FETCH_TIMEOUT_MS = 2_500
CONNECT_TIMEOUT_MS = 600
VIEW_PATH = "/view"
Address = tuple[str, int]


class ViewFetcher:
    """Fetches the views of peers that have something newer, or have just been heard.

    :param view: this host's view of the fleet.
    :param apply: applies a view and the time before which the peer had it. It raises one of
        :data:`~figcrank.protocol.decoding.DECODE_ERRORS` if the view is invalid.
    :param channel_to: returns the counter for the bytes exchanged with an IP address.
    :param clock: this host's clock.
    :param log: event log.
    """

    def __init__(
        self,
        view: FleetView,
        apply: Callable[[dict, int], None],
        channel_to: Callable[[str], TrafficChannel],
        clock: Clock,
        log: EventLog,
    ) -> None:
        self._view = view
        self._apply = apply
        self._channel_to = channel_to
        self._clock = clock
        self._log = log
        self._fetches = ViewFetches()
        self._named = 0, NEVER_MS  # newest version that a peer has named, and when it first was

    def record_heartbeat(self, heartbeat: Heartbeat, address: Address, is_new: bool) -> None:
        """Fetch what a heartbeat offers if this host lacks it.

        :param is_new: whether its sender has just been heard; it may know hosts that this one
            doesn't, so its view is fetched in any case.
        """
        now_ms = self._clock.now_ms()
        version = heartbeat.catalog_version
        if version > max(self._view.catalog_version, self._named[0]):
            self._named = version, now_ms
        self._fetches.record_offer(address, version, heartbeat.registry_revision, now_ms)
        if is_new:
            self._fetches.request(address)
        self.start_fetch()

    def named_before_ms(self, version: int, now_ms: int) -> int | None:
        """Return the time since a peer first named a version, ``None`` if none has."""
        named_version, named_ms = self._named
        return now_ms - named_ms if version <= named_version else None

    def start_fetch(self) -> None:
        """Start a fetch if one is due."""
        revision = self._view.registry.revision
        address = self._fetches.choose(self._view.catalog_version, revision, self._clock.now_ms())
        if address is not None:
            self._fetches.record_start(address, self._clock.now_ms())
            eventlet.spawn_n(self._fetch, address)

    def _fetch(self, address: Address) -> None:
        version = self._view.catalog_version
        started_ms = self._clock.now_ms()
        succeeded = False
        try:
            self._apply(self._request(address, version), started_ms)
            succeeded = True
        except (
            OSError,
            *DECODE_ERRORS,
            zlib.error,
            http_client.HTTPException,
        ) as error:
            took_ms = self._clock.now_ms() - started_ms
            self._log.event(
                "view_not_fetched",
                peer=address,
                reason=str(error),
                took_ms=took_ms,
                version=version,
                newest_named=self._named[0],
            )
        finally:
            self._fetches.record_end(address, succeeded, self._clock.now_ms())
        self.start_fetch()

    def _request(self, address: Address, version: int) -> dict:
        connection = CountedHttpConnection(
            address, CONNECT_TIMEOUT_MS, self._channel_to(address[0])
        )
        try:
            with eventlet.Timeout(
                FETCH_TIMEOUT_MS / 1_000, OSError("the peer did not answer in time")
            ):
                connection.connect()
                connection.sock.settimeout(FETCH_TIMEOUT_MS / 1_000)
                connection.request("GET", f"{VIEW_PATH}?catalog={version}&packed=1")
                _, body = connection.read_response(lambda: self._record_progress(address))
        finally:
            connection.close()
        return json.loads(body)

    def _record_progress(self, address: Address) -> None:
        self._fetches.record_progress(address, self._clock.now_ms())
