"""What one host spends on membership and configuration as the fleet grows."""

import random
import time
import tracemalloc
from collections.abc import Iterator
from dataclasses import dataclass

from figcrank.coordination import (
    Action,
    CallPlatform,
    CoreSettings,
    Event,
    GossipReceived,
    HostCore,
    PlatformReplied,
    SendGossip,
    Tick,
    Timings,
)
from figcrank.measure._report import Limit, Measure
from figcrank.measure._scenario import make_host
from figcrank.protocol import (
    Ack,
    Digest,
    Gossip,
    ListHosts,
    MemberUpdate,
    ObjectList,
    Ping,
    WatchObjects,
)
from figcrank.protocol.codecs import GossipCodec
from figcrank.state import Host, HostState

BYTES_BOUND_PER_S = 7_000
CELL_SIZE = 36
CORE_BOUND_PERCENT = 2.7
DATAGRAM_OVERHEAD_BYTES = 28
MEMORY_BOUND_MB = 128
PEER_COUNTS = (9, 90, 900, 3_599)
PEER_DELAY_MS = 3
RUN_MS = 30_000
WARM_UP_MS = 20_000
_DIGEST = Digest(0, 100)
_ZONES = ("zone-1", "zone-2", "zone-3")


@dataclass(frozen=True, slots=True)
class ControlCost:
    """What the control of one host cost.

    :param core_percent: share of one processor core, codecs included.
    :param bytes_per_s: datagram bytes sent and received, IP and UDP headers included.
    :param memory_mb: memory that the core holds on to.
    """

    core_percent: float
    bytes_per_s: float
    memory_mb: float


class FakePeers:
    """Peers that answer a host's probes and probe it as often as real ones would.

    :param count: number of peers.
    """

    def __init__(self, count: int) -> None:
        self.myself = _peer(0)
        self.hosts = tuple(_peer(number) for number in range(1, count + 1))
        self._by_address = {host.gossip_address: host for host in self.hosts}
        self._cell = [host for host in self.hosts if host.cell == self.myself.cell]
        self._random = random.Random(count)

    def answer(self, action: SendGossip) -> GossipReceived | None:
        """Return what the receiver of a datagram answers, if anything."""
        host = self._by_address.get(action.address)
        if host is None or not isinstance(action.message, Ping):
            return None
        introduced = any(u.host == self.myself.name for u in action.message.updates)
        updates = (_update(host),) if introduced else ()
        ack = Ack(action.message.seq, host.name, _DIGEST, updates)
        return GossipReceived(host.name, ack)

    def probe(self) -> GossipReceived:
        """Return a probe by a peer of the cell."""
        host = self._random.choice(self._cell)
        return GossipReceived(host.name, Ping(self._random.getrandbits(48), _DIGEST))


class ControlBench:
    """Runs one core among fake peers and counts what it costs.

    :param count: number of peers.
    """

    def __init__(self, count: int) -> None:
        self._peers = FakePeers(count)
        self._codec = GossipCodec("bench", ("secret",))
        settings = CoreSettings("bench", self._peers.myself, self._peers.hosts, ())
        self._core = HostCore(settings, random.Random(count))
        self._timings = Timings()
        self._due: dict[int, list[Event]] = {}
        self._now_ms = 0
        self.bytes_moved = 0
        self.busy_s = 0.0

    def run(self, span_ms: int) -> None:
        """Run for ``span_ms`` of virtual time."""
        end_ms = self._now_ms + span_ms
        if self._now_ms == 0:
            self._carry_out(self._core.start(0))
        while self._now_ms < end_ms:
            self._now_ms += 1
            for event in self._due.pop(self._now_ms, ()):
                self._handle(event)
            if self._now_ms % self._timings.tick_ms == 0:
                self._handle(Tick())
            if self._now_ms % self._timings.probe_interval_ms == 0:
                self._handle(self._peers.probe())

    def _handle(self, event: Event) -> None:
        datagram = self._received(event)
        started_s = time.process_time()
        if datagram is not None:
            self._codec.decode(datagram)
        actions = self._core.handle(event, self._now_ms)
        self.busy_s += time.process_time() - started_s
        self._carry_out(actions)

    def _received(self, event: Event) -> bytes | None:
        if not isinstance(event, GossipReceived):
            return None
        return self._counted(event.sender, event.message)

    def _carry_out(self, actions: tuple[Action, ...]) -> None:
        for action in actions:
            if isinstance(action, SendGossip):
                self._send(action)
            elif isinstance(action, CallPlatform):
                self._call_platform(action)

    def _send(self, action: SendGossip) -> None:
        started_s = time.process_time()
        self._counted(self._peers.myself.name, action.message)
        self.busy_s += time.process_time() - started_s
        answer = self._peers.answer(action)
        if answer is not None:
            self._later(PEER_DELAY_MS, answer)

    def _counted(self, sender: str, message: Gossip) -> bytes:
        datagram = self._codec.encode(sender, message)
        self.bytes_moved += len(datagram) + DATAGRAM_OVERHEAD_BYTES
        return datagram

    def _call_platform(self, action: CallPlatform) -> None:
        if isinstance(action.call, ListHosts):
            return
        wait_ms = action.call.wait_ms if isinstance(action.call, WatchObjects) else 0
        answer = PlatformReplied(action.call_id, ObjectList(0, ()))
        self._later(wait_ms + PEER_DELAY_MS, answer)

    def _later(self, delay_ms: int, event: Event) -> None:
        self._due.setdefault(self._now_ms + delay_ms, []).append(event)


def control_cost() -> Iterator[Measure]:
    """Yield the cost of one host's control among more and more peers, and its slope."""
    costs = {count: _cost(count) for count in PEER_COUNTS}
    for count, cost in costs.items():
        label = f"{count} peers in cells of {CELL_SIZE}, no database groups"
        yield _at_most(f"{label}, processor", cost.core_percent, "% of a core", CORE_BOUND_PERCENT)
        yield _at_most(f"{label}, traffic", cost.bytes_per_s, "B/s", BYTES_BOUND_PER_S)
        yield _at_most(f"{label}, memory", cost.memory_mb, "MB", MEMORY_BOUND_MB)
    yield from _slopes(costs)


def _slopes(costs: dict[int, ControlCost]) -> Iterator[Measure]:
    fewest, most = costs[PEER_COUNTS[0]], costs[PEER_COUNTS[-1]]
    thousands = (PEER_COUNTS[-1] - PEER_COUNTS[0]) / 1_000
    core = (most.core_percent - fewest.core_percent) / thousands
    moved = (most.bytes_per_s - fewest.bytes_per_s) / thousands
    yield Measure.from_value(
        "control_cost", "slope, processor", core, "% of a core per 1000 peers", Limit.REPORT
    )
    yield Measure.from_value(
        "control_cost", "slope, traffic", moved, "B/s per 1000 peers", Limit.REPORT
    )


def _at_most(scenario: str, value: float, unit: str, bound: float) -> Measure:
    return Measure.from_value("control_cost", scenario, value, unit, Limit.AT_MOST, bound)


def _cost(count: int) -> ControlCost:
    bench = ControlBench(count)
    bench.run(WARM_UP_MS)
    bench.bytes_moved, bench.busy_s = 0, 0.0
    bench.run(RUN_MS)
    core_percent = 100 * bench.busy_s / (RUN_MS / 1_000)
    return ControlCost(core_percent, bench.bytes_moved * 1_000 / RUN_MS, _memory_mb(count))


def _memory_mb(count: int) -> float:
    tracemalloc.start()
    bench = ControlBench(count)
    bench.run(WARM_UP_MS)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held_bytes / 1_000_000


def _peer(number: int) -> Host:
    cell = f"cell-{number // CELL_SIZE + 1}"
    return make_host(f"host-{number}", number, _ZONES, cell)


def _update(host: Host) -> MemberUpdate:
    return MemberUpdate(
        host.name,
        host.availability_zone,
        host.gossip_address,
        host.peer_address,
        0,
        HostState.ALIVE,
        host.cell,
    )
