"""Bytes are counted by kind of message and by distance, on both sides of each exchange."""

import eventlet
import pytest

from figcrank.coordination.admission import Demand
from figcrank.coordination.fleet import FleetView
from figcrank.coordination.owners import HostRole, OwnerDirectory
from figcrank.coordination.regions import RegionMap
from figcrank.protocol.heartbeats import Heartbeat, encode_heartbeat
from figcrank.protocol.owners import STATUS_QUERY, Owner, encode_status
from figcrank.protocol.relays import (
    RelayCallerCodec,
    encode_request,
    encode_start,
    relay_reply_decoder,
)
from figcrank.protocol.sessions import (
    Decoder,
    Request,
    SessionStart,
    StartOptions,
    StatementReply,
    TransactionState,
    Verb,
)
from figcrank.state import ManualClock
from figcrank.state._catalog import Catalog, DatabaseRoute, ReadMode, Registry, ServerEntry
from figcrank.transport import MonotonicClock
from figcrank.transport.streams._connection import ServerConnection
from figcrank.transport.streams._counted_http import CountedHttpConnection
from figcrank.transport.streams._http import serve_http
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._metrics import Metrics
from figcrank.transport.streams._owner_opener import OwnerOpener
from figcrank.transport.streams._owner_session import OwnerSession
from figcrank.transport.streams._owner_tracker import OwnerTracker
from figcrank.transport.streams._peer_link import PeerLink
from figcrank.transport.streams._router import Router
from figcrank.transport.streams._server_commands import ServerCommands
from figcrank.transport.streams._session import SessionServices
from figcrank.transport.streams._status_responder import StatusResponder
from figcrank.transport.streams._traffic import MessageKind, TrafficMeter

REGIONS = RegionMap("north-1", {"north-1": "north", "north-2": "north", "south-1": "south"})
REPLY = StatementReply(b"", (), None, "", TransactionState.IDLE, None)


def counts(metrics):
    """Return the counted bytes by kind, direction and way."""
    found = {}
    for line in metrics.render().splitlines():
        name, _, rest = line.partition("{")
        if name == "figcrank_traffic_bytes_total":
            labels, _, value = rest.partition("} ")
            found[tuple(label.split('"')[1] for label in labels.split(","))] = float(value)
    return found


@pytest.fixture
def metrics():
    return Metrics()


@pytest.fixture
def meter(metrics):
    return TrafficMeter(REGIONS, metrics)


@pytest.fixture
def view():
    view = FleetView("a", 1, ("127.0.0.1", 7000), availability_zone="north-1", regions=REGIONS)
    view.role = HostRole.OWNER
    return view


@pytest.mark.parametrize(
    ("zone", "direction"),
    [
        ("north-1", "zone"),
        ("north-2", "other_zone"),
        ("south-1", "other_region"),
        ("", "unknown"),
    ],
)
def test_bytes_are_counted_by_the_distance_of_the_other_side(meter, metrics, zone, direction):
    channel = meter.channel(MessageKind.HEARTBEAT, zone)
    channel.sent(10)
    channel.sent(5)
    channel.received(7)
    assert counts(metrics) == {
        ("heartbeat", direction, "sent"): 15,
        ("heartbeat", direction, "received"): 7,
    }


def test_labels_are_bounded_however_many_zones_there_are(meter, metrics):
    """Guards against a label for each zone or host, whose number a fleet does not bound."""
    for kind in MessageKind:
        for number in range(100):
            channel = meter.channel(kind, f"zone-{number}")
            channel.sent(1)
            channel.received(1)
    assert len(counts(metrics)) == 2 * len(MessageKind)


class OneByteDecoder(Decoder):
    """Wire format in which each byte is a reply."""

    def feed(self, data):
        return [REPLY for _ in data]


class FakeCodec:
    """Server wire format: a start of 5 bytes, and queries of 7."""

    PROXY_REQUEST_ID = "-"

    def decoder(self):
        return OneByteDecoder()

    def start(self, _group, _workspace, _server_id):
        return b"start"

    def query(self, _request_id, _text):
        return b"query.."

    def status(self):
        return "status"

    def read_status(self, reply):
        return reply


@pytest.fixture
def server():
    """Listener that answers each message with a single byte."""
    listener = eventlet.listen(("127.0.0.1", 0))

    def serve(sock):
        while sock.recv(100):
            sock.sendall(b".")

    def accept():
        while True:
            eventlet.spawn_n(serve, listener.accept()[0])

    greenlet = eventlet.spawn(accept)
    yield listener.getsockname()
    greenlet.kill()
    listener.close()


def test_connection_counts_handshake_and_statements(meter, metrics, server):
    channel = meter.channel(MessageKind.STATEMENT, "south-1")
    connection, _ = ServerConnection.open(
        server, OneByteDecoder(), b"start", "w", MonotonicClock(), traffic=channel
    )
    connection.send_and_wait(b"statement", 1_000)
    connection.close()
    expected = {
        ("server_statement", "other_region", "sent"): 14,
        ("server_statement", "other_region", "received"): 2,
    }
    assert counts(metrics) == expected


@pytest.mark.parametrize("use", ["pool", "probe", "command"])
def test_every_connection_to_a_server_is_counted_by_the_zone_of_the_server(
    view, metrics, server, use
):
    """Guards against statements, probes or status queries that cross regions uncounted."""
    clock = MonotonicClock()
    router = Router(view, FakeCodec(), clock, "north-1", EventLog("a", clock, len), metrics)
    entry = ServerEntry("s1", "g", f"127.0.0.1:{server[1]}", "south-1", 4, False, False)
    view.adopt_registry(Registry(1, {"s1": entry}), 0, 0, from_peer=False)
    if use == "pool":
        router.pool("s1").acquire(Demand("w", "read", (0, 0), 0, 100, 1_000), {}).close()
    elif use == "probe":
        router.probe_server(router.pool("s1"))
    else:
        assert ServerCommands("a", router, router.codec, clock).status(entry) is REPLY
    messages = 2 if use == "command" else 1
    assert counts(metrics) == {
        ("server_statement", "other_region", "sent"): 5 + 7 * (messages - 1),
        ("server_statement", "other_region", "received"): messages,
    }


class FakeRouter:
    def tick(self):
        pass

    def notify_primary_change(self):
        pass


@pytest.fixture
def link(view, meter):
    clock = MonotonicClock()
    log = EventLog("a", clock, len)
    link = PeerLink(("127.0.0.1", 0), view, FakeRouter(), None, clock, log, meter)
    yield link
    link._socket.close()


@pytest.fixture
def peer(view):
    """Socket of a host in another zone of the region, which is registered with the view."""
    sock = eventlet.green.socket.socket(
        eventlet.green.socket.AF_INET, eventlet.green.socket.SOCK_DGRAM
    )
    sock.bind(("127.0.0.2", 0))
    view.peers.register("b", sock.getsockname(), 0, "north-2")
    yield sock
    sock.close()


def test_heartbeats_are_counted_when_sent_and_when_received(link, view, metrics, peer):
    link.broadcast_heartbeat()
    sent = len(peer.recvfrom(65_000)[0])
    datagram = encode_heartbeat(Heartbeat("b", 2, 1))
    receiver = eventlet.spawn(link.run_receiver)
    link._fetcher.start_fetch = lambda: None
    peer.sendto(datagram, link._socket.getsockname())
    with eventlet.Timeout(10):
        while view.peers.by_address(peer.getsockname()).heartbeat is None:
            eventlet.sleep(0)
    receiver.kill()
    found = counts(metrics)
    assert found["heartbeat", "other_zone", "received"] == len(datagram)
    answer = found["heartbeat", "other_zone", "sent"] - sent
    assert answer == len(peer.recvfrom(65_000)[0])  # to a host heard for the first time


def test_view_is_counted_alike_by_the_host_that_fetches_and_the_one_that_serves(meter, metrics):
    """Guards against responses of which only the body is counted."""
    page = b'{"servers": []}' * 100
    listener = eventlet.listen(("127.0.0.1", 0))
    serving = meter.channel(MessageKind.VIEW, "south-1")

    def serve():
        sock, _ = listener.accept()
        serve_http(sock, {"/view": lambda _query: (200, page)}, serving)

    greenlet = eventlet.spawn(serve)
    fetching = meter.channel(MessageKind.VIEW, "north-2")
    connection = CountedHttpConnection(listener.getsockname(), 1_000, fetching)
    connection.request("GET", "/view?catalog=7")
    assert connection.read_response()[1] == page
    connection.close()
    greenlet.wait()
    listener.close()
    found = counts(metrics)
    assert found["view", "other_zone", "received"] == found["view", "other_region", "sent"]
    assert found["view", "other_zone", "sent"] == found["view", "other_region", "received"]
    assert found["view", "other_zone", "received"] > len(page)


def test_fetch_of_a_peers_view_is_counted(link, view, metrics):
    listener = eventlet.listen(("127.0.0.2", 0))
    view.peers.register("b", listener.getsockname(), 0, "south-1")

    def serve():
        serve_http(listener.accept()[0], {"/view": link.view_page})

    eventlet.spawn_n(serve)
    link._fetcher._fetch(listener.getsockname())
    listener.close()
    assert counts(metrics)["view", "other_region", "received"] > len(link.view_page({})[1])
    assert counts(metrics)["view", "other_region", "sent"] > len("GET /view")


class WordCodec:
    def completion(self):
        return b"done"


START = SessionStart("db", "key")
OPTIONS = StartOptions("south-1")


class StartedSession:
    """A session of a relay in another region, which an owner has accepted."""

    def __init__(self, view, metrics):
        route = DatabaseRoute("route", "db", "g", ReadMode.PRIMARY, 700, 300)
        view.adopt_catalog(Catalog(4, {"db": route}, {}, {"key": "w"}, {}, 3_000), 0)
        clock = MonotonicClock()
        router = type("FakeRouter", (), {"view": view})()
        log = EventLog("a", clock, len)
        self.services = SessionServices(WordCodec(), router, None, clock, log, metrics, set())
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.greenlet = eventlet.spawn(self._serve)

    def _serve(self):
        sock, _ = self.listener.accept()
        self.listener.close()
        OwnerSession(sock, self.services).run()


def test_relayed_session_is_counted_by_the_owner_with_its_start(view, metrics):
    """Guards against starts, which tell the sender's zone, that are counted as unknown."""
    session = StartedSession(view, metrics)
    data = encode_start(START, 4, OPTIONS)
    connection, reply = ServerConnection.open(
        session.address, relay_reply_decoder(), data, "", MonotonicClock()
    )
    request = encode_request(Request("id", Verb.SET, "", "name", "1"), 4)
    connection.send_and_wait(request, 1_000)
    connection.close()
    session.greenlet.wait()
    codec = RelayCallerCodec(WordCodec(), lambda: (4, 700))
    replies = codec.reply(b"", reply.state), codec.reply(b"done", reply.state)
    assert counts(metrics) == {
        ("relayed_session", "other_region", "received"): len(data) + len(request),
        ("relayed_session", "other_region", "sent"): sum(map(len, replies)),
    }


def test_relayed_session_is_counted_by_the_relay(view, meter, metrics):
    session = StartedSession(view, Metrics())
    clock, log = ManualClock(0), EventLog("relay", ManualClock(0), len)
    owner = Owner("o1", ("127.0.0.1", 7000), "north-2")
    directory = OwnerDirectory("south-1")
    directory.update([owner])
    tracker = OwnerTracker(directory, session.address[1], "127.0.0.1", clock, log)
    opener = OwnerOpener("south-1", tracker, clock, Metrics(), meter)
    opener.open(START).connection.close()
    tracker._socket.close()
    session.greenlet.wait()
    found = counts(metrics)
    assert found["relayed_session", "other_zone", "sent"] == len(encode_start(START, 0))
    assert found["relayed_session", "other_zone", "received"] > 0


def test_status_queries_and_answers_are_counted_as_relayed_sessions(view, meter, metrics):
    """Guards against the queries of all relays every 1.5 s that no counter shows."""
    clock = MonotonicClock()
    log = EventLog("relay", clock, len)
    port = free_port()
    directory = OwnerDirectory("south-1")
    directory.update([Owner("o1", ("127.0.0.2", 7000), "north-2")])
    tracker = OwnerTracker(directory, port, "127.0.0.3", clock, log, meter)
    answering = Metrics()
    owners = OwnerTracker(
        OwnerDirectory("north-1"), port, "127.0.0.2", clock, log, TrafficMeter(REGIONS, answering)
    )
    responder = StatusResponder(("127.0.0.2", port), view, owners, lambda: True, clock, log)
    greenlets = [eventlet.spawn(responder.run), eventlet.spawn(tracker.run_receiver)]
    tracker.query("127.0.0.2")
    with eventlet.Timeout(10):
        while len(counts(metrics)) < 2:
            eventlet.sleep(0.001)
    for greenlet in greenlets:
        greenlet.kill()
    for sock in (tracker._socket, owners._socket, responder._socket):
        sock.close()
    answer = len(encode_status(responder.status()))
    assert counts(metrics) == {
        ("relayed_session", "other_zone", "sent"): len(STATUS_QUERY),
        ("relayed_session", "other_zone", "received"): answer,
    }
    assert counts(answering) == {
        ("relayed_session", "unknown", "received"): len(STATUS_QUERY),
        ("relayed_session", "unknown", "sent"): answer,
    }


def free_port():
    """Return a port that no other socket of the address uses."""
    sock = eventlet.green.socket.socket(
        eventlet.green.socket.AF_INET, eventlet.green.socket.SOCK_DGRAM
    )
    sock.bind(("127.0.0.2", 0))
    port = sock.getsockname()[1]
    sock.close()
    return port
