"""Searches for fault sequences that admit more than burst plus rate times time."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figcrank.measure._limit_fleet import LimitFleet, Network
from figcrank.state import Workspace

SIZE = 5
CREW = Workspace("crew", 200, 20)
START_MS = 2_000

hosts = st.integers(0, SIZE - 1)
steps = st.lists(
    st.tuples(
        st.sampled_from(
            (
                "run",
                "pause",
                "resume",
                "kill",
                "remove_peer",
                "suspect",
                "add_peer",
                "partition",
                "heal",
                "leave",
            )
        ),
        hosts,
        hosts,
        st.sampled_from((10, 60, 150, 300, 500, 900)),
    ),
    min_size=4,
    max_size=14,
)


def disturb(fleet, action, member_index, peer_index):
    member, peer = fleet.members[member_index], fleet.members[peer_index]
    lost_members = sum(not m.alive or m.host.name in m.view.leaving for m in fleet.members)
    if action == "pause":
        member.paused = True
    elif action == "resume" and member.paused:
        fleet.resume(member)
    elif action == "kill" and not lost_members:
        fleet.kill(member)
    elif action == "leave" and not lost_members and not member.paused:
        fleet.leave(member)
    elif action == "remove_peer" and member is not peer:
        member.view.remove(peer.host.name)
    elif action == "suspect" and member is not peer:
        member.view.suspects.add(peer.host.name)
    elif action == "add_peer" and peer.host.name not in member.view.leaving:
        member.view.add(peer.host)
    elif action == "partition":
        fleet.parted.add(frozenset((member.host.name, peer.host.name)))
    elif action == "heal":
        fleet.parted.clear()


def flood(fleet, for_ms):
    for _ in range(for_ms):
        fleet.ask("crew", fleet.now_ms % SIZE)
        fleet.run([], fleet.now_ms + 1)


@pytest.mark.parametrize("network", [Network(), Network(0.1, 0.1, 1, 40)])
@settings(max_examples=40, deadline=None, derandomize=True)
@given(plan=steps, seed=st.integers(0, 1_000))
def test_no_window_has_more_than_rate_times_time_plus_burst(network, plan, seed):
    fleet = LimitFleet([CREW], seed, network, SIZE)
    fleet.run([], START_MS)
    for action, one, other, wait_ms in plan:
        disturb(fleet, action, one, other)
        flood(fleet, wait_ms)
    assert fleet.over_admission("crew") == 0
