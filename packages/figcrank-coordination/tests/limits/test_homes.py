import pytest

from figcrank.coordination import CoreSettings
from figcrank.coordination.limits._homes import Homes
from figcrank.coordination.limits._limit_timings import HOME_SILENCE_MS
from figcrank.coordination.membership._placement import Placement
from figcrank.measure._limit_fleet import View, make_host

HOSTS = tuple(make_host(number) for number in range(5))


@pytest.fixture
def view():
    return View(HOSTS)


@pytest.fixture
def homes(view):
    placement = Placement(CoreSettings("fleet", HOSTS[0], HOSTS, ()), view)
    return Homes(placement, HOSTS[0].name)


def workspace_of(homes, host):
    """Return a workspace whose home is ``host``."""
    return next(f"w{n}" for n in range(200) if homes.find(f"w{n}") == host)


@pytest.mark.parametrize(
    ("suspected", "silent_ms", "stays"),
    [
        (True, HOME_SILENCE_MS, False),
        (True, HOME_SILENCE_MS - 100, True),
        (False, 10 * HOME_SILENCE_MS, True),
    ],
)
def test_only_a_suspected_and_silent_host_is_left_out(homes, view, suspected, silent_ms, stays):
    workspace = workspace_of(homes, HOSTS[3])
    homes.heard(HOSTS[3].name, 1_000)
    if suspected:
        view.suspects.add(HOSTS[3].name)
    homes.tick(1_000 + silent_ms)
    assert (homes.find(workspace) == HOSTS[3]) is stays


def test_a_suspected_host_is_home_again_once_it_is_heard(homes, view):
    workspace = workspace_of(homes, HOSTS[3])
    view.suspects.add(HOSTS[3].name)
    homes.tick(1_000)
    homes.heard(HOSTS[3].name, 1_010)
    homes.tick(1_060)
    assert homes.find(workspace) == HOSTS[3]


def test_a_leaving_host_is_home_to_nothing(homes):
    workspace = workspace_of(homes, HOSTS[0])
    homes.leave(1_000)
    assert homes.find(workspace) != HOSTS[0]
