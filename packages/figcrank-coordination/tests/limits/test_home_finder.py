import pytest

from figcrank.coordination import CoreSettings
from figcrank.coordination.limits._home_finder import HomeFinder
from figcrank.coordination.limits._limit_timings import HOME_SILENCE_MS
from figcrank.coordination.membership._placement import Placement
from figcrank.measure._limit_fleet import View, make_host

HOSTS = tuple(make_host(number) for number in range(5))


@pytest.fixture
def view():
    return View(HOSTS)


@pytest.fixture
def home_finder(view):
    placement = Placement(CoreSettings("fleet", HOSTS[0], HOSTS, ()), view)
    return HomeFinder(placement, HOSTS[0].name)


def workspace_of(home_finder, host):
    """Return a workspace whose home is ``host``."""
    return next(f"w{n}" for n in range(200) if home_finder.find(f"w{n}") == host)


@pytest.mark.parametrize(
    ("suspected", "silent_ms", "stays"),
    [
        (True, HOME_SILENCE_MS, False),
        (True, HOME_SILENCE_MS - 100, True),
        (False, 10 * HOME_SILENCE_MS, True),
    ],
)
def test_only_a_suspected_and_silent_host_is_excluded(
    home_finder, view, suspected, silent_ms, stays
):
    workspace = workspace_of(home_finder, HOSTS[3])
    home_finder.record_message(HOSTS[3].name, 1_000)
    if suspected:
        view.suspects.add(HOSTS[3].name)
    home_finder.tick(1_000 + silent_ms)
    assert (home_finder.find(workspace) == HOSTS[3]) is stays


def test_a_suspected_host_is_home_again_once_it_sends_a_message(home_finder, view):
    workspace = workspace_of(home_finder, HOSTS[3])
    view.suspects.add(HOSTS[3].name)
    home_finder.tick(1_000)
    home_finder.record_message(HOSTS[3].name, 1_010)
    home_finder.tick(1_060)
    assert home_finder.find(workspace) == HOSTS[3]


def test_a_leaving_host_is_home_for_no_workspace(home_finder):
    workspace = workspace_of(home_finder, HOSTS[0])
    home_finder.leave(1_000)
    assert home_finder.find(workspace) != HOSTS[0]
