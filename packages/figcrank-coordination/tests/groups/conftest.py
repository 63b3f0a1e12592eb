from collections.abc import Callable

import pytest

from figcrank.coordination import Timings
from figcrank.protocol import Outcome
from figcrank.protocol.objects import encode_config_value
from figcrank.standins.samples import group_of
from figcrank.standins.virtual import Call, VirtualFleet
from figcrank.state import (
    Host,
    Key,
    PresentedKey,
    Profile,
    ProfileMode,
    Service,
    Session,
    Workspace,
)

ZONES = ("zone-1", "zone-2", "zone-3")
# Without a unique key, so that a write that ran twice leaves two rows.
CREATE = "CREATE TABLE change (id INTEGER, note TEXT)"


class GroupFleet:
    """Hosts in front of one group of three servers, with real SQL and a virtual clock."""

    def __init__(self, seed=1, host_count=6, slots=5, timings=None, rate_per_s=100_000):
        hosts = tuple(
            Host(f"host-{n}", ZONES[n % 3], f"10.0.0.{n}:7001", f"10.0.0.{n}:7000")
            for n in range(1, host_count + 1)
        )
        group = group_of("roster", ZONES, slots, 40)
        self.virtual_fleet = VirtualFleet(hosts, (group,), seed, timings or Timings())
        self.keys = {}
        store = self.virtual_fleet.platform.model
        for name, mode, max_staleness_ms in (
            ("fresh", ProfileMode.FRESH, 0),
            ("relaxed", ProfileMode.BOUNDED, 1_000),
            ("write", ProfileMode.WRITE, 0),
        ):
            store.put("profile", name, encode_config_value(Profile(name, mode, max_staleness_ms)))
        store.put("service", "roster", encode_config_value(Service("roster", "roster")))
        for name in ("crew-1", "crew-2"):
            value = Workspace(name, rate_per_s, rate_per_s)
            store.put("workspace", name, encode_config_value(value))
            key = PresentedKey(f"key{name[-1]}", "secret")
            stored = Key.from_secret(key.key_id, name, "salt", key.secret)
            store.put("key", key.key_id, encode_config_value(stored))
            self.keys[name] = key
        self.virtual_fleet.start()
        self.calls: dict[int, Call] = {}

    @property
    def group(self):
        return self.virtual_fleet.groups["roster"]

    @property
    def primary(self) -> str:
        return self.group.primary.server.name

    @property
    def replicas(self) -> list[str]:
        return [name for name in self.group.servers if name != self.primary]

    @property
    def owners(self) -> list[str]:
        live = next(h for h in self.virtual_fleet.hosts.values() if h.alive and not h.paused)
        return [host.name for host in live.core.placement.owners("roster")]

    @property
    def entry(self) -> str:
        """Return a live host, preferably not a probing one, because tests stop probing hosts."""
        live = [h for h in self.virtual_fleet.hosts.values() if h.alive and not h.paused]
        probers = [host.name for host in live[-1].core.placement.probers("roster")]
        others = [h.host.name for h in live if h.host.name not in probers]
        return (others or probers)[0]

    def run_for(self, duration_ms: int) -> None:
        self.virtual_fleet.run_for(duration_ms)

    def finish(self, call: Call, within_ms: int = 10_000) -> Call:
        end_ms = self.virtual_fleet.loop.now_ms + within_ms
        while call.answered_ms is None:
            assert (
                self.virtual_fleet.loop.now_ms < end_ms
            ), "the call was not answered before the time limit"
            self.run_for(1)
        return call

    def write(self, *sql, host="", workspace="crew-1", **options) -> Call:
        key = self.keys[workspace]
        return self.virtual_fleet.statements(
            host or self.entry, key, "roster", "write", *sql, **options
        )

    def read(self, sql, profile="fresh", host="", session: Session | None = None, **options):
        key = self.keys["crew-1"]
        return self.virtual_fleet.statements(
            host or self.entry, key, "roster", profile, sql, session=session, **options
        )

    def step(self, action, *sql, workspace="crew-1", transaction="", **options) -> Call:
        service = "roster" if action == "begin" else ""
        return self.virtual_fleet.transaction(
            self.entry,
            self.keys[workspace],
            action,
            *sql,
            service=service,
            transaction=transaction,
            **options,
        )

    def insert(self, number: int, host="", **options) -> Call:
        sql = f"INSERT INTO change (id, note) VALUES ({number}, 'n')"
        self.calls[number] = self.write(sql, host=host, **options)
        return self.calls[number]

    def start_load(self, duration_ms: int, interval_ms: int = 10, hosts=(), **options) -> None:
        """Insert one numbered row every ``interval_ms``, rotating over ``hosts``."""
        for index in range(duration_ms // interval_ms):
            number = len(self.calls) + index + 1
            host = hosts[number % len(hosts)] if hosts else ""

            def send(number=number, host=host):
                self.insert(number, host=host, **options)

            self.virtual_fleet.loop.after(index * interval_ms, send)

    def final_ids(self) -> list[int]:
        return [row[0] for row in self.finish(self.read("SELECT id FROM change ORDER BY id")).rows]

    def assert_no_write_lost_or_duplicated(self) -> None:
        """Check that every call was answered and that the answers match the stored rows."""
        self.assert_answers_match_rows(unanswered_allowed=False)

    def assert_answers_match_rows(self, unanswered_allowed: bool) -> None:
        """Check the answers of the load against the stored rows."""
        answered = all(call.answered_ms is not None for call in self.calls.values())
        assert answered or unanswered_allowed
        found = self.final_ids()
        assert len(found) == len(set(found))
        acknowledged = {n for n, call in self.calls.items() if call.answer is not None}
        failed = {n: call.failure for n, call in self.calls.items() if call.failure is not None}
        not_run = {n for n, failure in failed.items() if failure.outcome is Outcome.NOT_RUN}
        assert acknowledged <= set(found)
        assert not not_run & set(found)

    def longest_write_gap_ms(self) -> int:
        times = sorted(c.answered_ms for c in self.calls.values() if c.answer is not None)
        return max(later - earlier for earlier, later in zip(times, times[1:], strict=False))


def start_group_fleet(**options) -> GroupFleet:
    fleet = GroupFleet(**options)
    fleet.run_for(1_000)
    created = fleet.finish(fleet.write(CREATE))
    assert created.answer is not None, created.failure
    return fleet


@pytest.fixture
def make_group_fleet() -> Callable[..., GroupFleet]:
    """Return a function that starts a fleet with a primary and the table ``change``."""
    return start_group_fleet


@pytest.fixture(scope="session")
def make_group_fleet_once() -> Callable[..., GroupFleet]:
    """Return the function of ``make_group_fleet``, in the scope that Hypothesis requires."""
    return start_group_fleet
