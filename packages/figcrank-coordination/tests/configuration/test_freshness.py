import pytest

from figcrank.coordination.configuration._freshness import MAX_AGE_MS, Freshness
from figcrank.coordination.configuration._store_watcher import WATCH_WAIT_MS, _confirmed_ms
from figcrank.coordination.membership._membership import UNKNOWN_AGE_MS
from figcrank.protocol import Digest, ObjectList, StoredObject

LIMIT_MS = 1_500
NOW_MS = 100_000


class StubEnvironment:
    """Stands in for the membership and the platform client of a host."""

    def __init__(self):
        self.has_failed = False
        self.is_majority = True
        self.peer_count = 8

    def peers(self):
        return tuple(range(self.peer_count))

    def reaches_majority(self, now_ms):
        return self.is_majority


@pytest.fixture
def environment():
    return StubEnvironment()


@pytest.fixture
def freshness(environment):
    return Freshness(LIMIT_MS, environment, environment)


def failing(revision=5):
    return Digest(revision, 60_000, platform_failed=True)


def test_confirmation_expires(freshness):
    freshness.on_confirmed(5, NOW_MS, own_revision=5)
    assert freshness.is_fresh(5, NOW_MS + LIMIT_MS)
    assert not freshness.is_fresh(5, NOW_MS + LIMIT_MS + 1)


def test_confirmation_counts_once_its_revision_is_applied(freshness):
    freshness.on_confirmed(6, NOW_MS, own_revision=5)
    assert not freshness.is_fresh(5, NOW_MS)
    freshness.on_revision(6)
    assert freshness.is_fresh(6, NOW_MS)


def test_older_confirmation_is_ignored(freshness):
    freshness.on_confirmed(5, NOW_MS, own_revision=5)
    freshness.on_confirmed(5, NOW_MS - 5_000, own_revision=5)
    assert freshness.age_ms(NOW_MS) == 0


def test_age_reported_by_a_peer_is_added(freshness):
    freshness.on_digest("host-2", Digest(5, 700), 5, NOW_MS)
    assert freshness.age_ms(NOW_MS + 100) == 800


@pytest.mark.parametrize("age_ms", [UNKNOWN_AGE_MS, UNKNOWN_AGE_MS + 5, MAX_AGE_MS])
def test_digest_without_a_known_age_confirms_nothing(freshness, age_ms):
    freshness.on_digest("host-2", Digest(5, age_ms), 5, NOW_MS)
    assert not freshness.is_fresh(5, NOW_MS)


@pytest.mark.parametrize(
    ("reports", "own_failed", "is_majority", "own_revision", "is_outage"),
    [
        (2, False, True, 5, True),
        (1, True, True, 5, True),
        (1, False, True, 5, False),
        (0, True, True, 5, False),
        (2, True, False, 5, False),
        (2, True, True, 4, False),
    ],
)
def test_general_outage_needs_reports_and_a_majority(
    freshness, environment, reports, own_failed, is_majority, own_revision, is_outage
):
    environment.has_failed, environment.is_majority = own_failed, is_majority
    freshness.on_revision(5)
    for number in range(reports):
        freshness.on_digest(f"host-{number}", failing(), own_revision, NOW_MS)
    assert freshness.is_fresh(own_revision, NOW_MS) is is_outage
    assert not freshness.is_fresh(own_revision, NOW_MS + LIMIT_MS)


def test_single_host_needs_only_its_own_report(freshness, environment):
    environment.peer_count, environment.has_failed = 0, True
    assert freshness.is_fresh(5, NOW_MS)


def test_unsolicited_outage_report_is_ignored(freshness, environment):
    environment.has_failed = True
    unsolicited = Digest(5, UNKNOWN_AGE_MS + 10, platform_failed=True)
    freshness.on_digest("host-2", unsolicited, 5, NOW_MS)
    assert not freshness.is_fresh(5, NOW_MS)


@pytest.mark.parametrize(
    ("objects", "answered_ms", "confirmed_ms"),
    [
        ((), WATCH_WAIT_MS + 5, WATCH_WAIT_MS),
        ((), 50, 0),
        ((StoredObject("key", "k1", 9, None),), WATCH_WAIT_MS + 5, 0),
    ],
)
def test_watch_response_never_confirms_too_late_a_time(objects, answered_ms, confirmed_ms):
    assert _confirmed_ms(ObjectList(9, objects), 0, answered_ms) == confirmed_ms
