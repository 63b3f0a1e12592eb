"""Limits on whole host cores, with the real membership and configuration."""

import pytest

from figcrank.measure._scenario import Scenario
from figcrank.standins.samples import herdtrace

FLOOD_MS = 2_500
STEP_MS = 10
# Counters are emitted once a tick.
COUNTED_LATE_MS = 20


class Flood:
    """Sends one workspace's requests to every host, far above its rate."""

    def __init__(self):
        size = herdtrace()
        self.scenario = Scenario.from_size(size, seed=5, group_count=1)
        self.fleet = self.scenario.fleet
        self.workspace = size.workspaces[3]
        self.samples = []

    def home(self):
        hosts = self.fleet.hosts.values()
        viewer = next(entry for entry in hosts if entry.alive and not entry.paused)
        return viewer.core.placement.home(self.workspace.name).name

    def admitted(self):
        name = f"limits.{self.workspace.name}.admitted"
        return sum(entry.counters[name] for entry in self.fleet.hosts.values())

    def run_for(self, span_ms):
        key = self.scenario.keys[self.workspace.name]
        for step in range(span_ms // STEP_MS):
            host = f"host-{step % 8 + 1}"
            for _ in range(4):
                self.fleet.statements(host, key, self.scenario.service, "relaxed", "SELECT 1")
            self.fleet.run_for(STEP_MS)
            self.samples.append((self.fleet.loop.now_ms, self.admitted()))

    def excess(self):
        """Return by how much the worst window passed rate times its length plus burst."""
        rate_per_ms = self.workspace.rate_per_s / 1_000
        worst = 0.0
        for number, (start_ms, before) in enumerate(self.samples):
            for end_ms, after in self.samples[number:]:
                allowed = self.workspace.burst + rate_per_ms * (end_ms - start_ms + COUNTED_LATE_MS)
                worst = max(worst, after - before - allowed)
        return worst


@pytest.fixture
def flood():
    return Flood()


def test_a_flood_gets_its_rate(flood):
    flood.run_for(FLOOD_MS)
    assert flood.excess() <= 0
    assert flood.admitted() >= flood.workspace.rate_per_s * FLOOD_MS / 1_000


def test_a_killed_home_is_replaced_without_over_admission(flood):
    flood.run_for(500)
    killed = flood.home()
    flood.fleet.kill(killed)
    flood.run_for(FLOOD_MS)
    before = flood.admitted()
    flood.run_for(1_000)
    assert flood.home() != killed
    assert flood.excess() <= 0
    assert flood.admitted() - before >= 0.8 * flood.workspace.rate_per_s


@pytest.mark.parametrize("pause_ms", [150, 1_500])
def test_a_resumed_home_admits_nothing_beyond_the_limit(flood, pause_ms):
    flood.run_for(500)
    paused = flood.home()
    flood.fleet.pause(paused)
    flood.run_for(pause_ms)
    flood.fleet.resume(paused)
    flood.run_for(FLOOD_MS)
    assert flood.excess() <= 0
    assert flood.admitted() >= 0.5 * flood.workspace.rate_per_s * FLOOD_MS / 1_000


def test_a_leaving_home_keeps_the_rate_up(flood):
    flood.run_for(500)
    before = flood.admitted()
    flood.fleet.leave(flood.home())
    flood.run_for(1_000)
    assert flood.excess() <= 0
    assert flood.admitted() - before >= 0.9 * flood.workspace.rate_per_s
