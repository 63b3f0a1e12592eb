import pytest

from figcrank.coordination.configuration._freshness import NEVER_MS, Freshness
from figcrank.coordination.configuration._watch import WATCH_WAIT_MS, _confirmed_ms
from figcrank.coordination.membership._membership import UNKNOWN_AGE_MS
from figcrank.protocol import Digest, ObjectList, StoredObject

LIMIT_MS = 1_500
NOW_MS = 100_000


class Surroundings:
    """What a host sees of its peers and of the platform."""

    def __init__(self):
        self.has_failed = False
        self.is_majority = True
        self.peer_count = 8

    def peers(self):
        return tuple(range(self.peer_count))

    def hears_majority(self, now_ms):
        return self.is_majority


@pytest.fixture
def around():
    return Surroundings()


@pytest.fixture
def freshness(around):
    return Freshness(LIMIT_MS, around, around)


def failing(revision=5):
    return Digest(revision, 60_000, platform_failed=True)


def test_word_ages(freshness):
    freshness.on_confirmed(5, NOW_MS, own_revision=5)
    assert freshness.is_fresh(5, NOW_MS + LIMIT_MS)
    assert not freshness.is_fresh(5, NOW_MS + LIMIT_MS + 1)


def test_word_counts_once_its_revision_is_in_force(freshness):
    freshness.on_confirmed(6, NOW_MS, own_revision=5)
    assert not freshness.is_fresh(5, NOW_MS)
    freshness.on_revision(6)
    assert freshness.is_fresh(6, NOW_MS)


def test_older_word_takes_nothing_back(freshness):
    freshness.on_confirmed(5, NOW_MS, own_revision=5)
    freshness.on_confirmed(5, NOW_MS - 5_000, own_revision=5)
    assert freshness.age_ms(NOW_MS) == 0


def test_age_of_a_peer_is_added(freshness):
    freshness.on_digest("host-2", Digest(5, 700), 5, NOW_MS)
    assert freshness.age_ms(NOW_MS + 100) == 800


@pytest.mark.parametrize("age_ms", [UNKNOWN_AGE_MS, UNKNOWN_AGE_MS + 5, NEVER_MS])
def test_digest_without_a_known_age_is_no_word(freshness, age_ms):
    freshness.on_digest("host-2", Digest(5, age_ms), 5, NOW_MS)
    assert not freshness.is_fresh(5, NOW_MS)


@pytest.mark.parametrize(
    ("reports", "own_failed", "is_majority", "own_revision", "shown"),
    [
        (2, False, True, 5, True),
        (1, True, True, 5, True),
        (1, False, True, 5, False),
        (0, True, True, 5, False),
        (2, True, False, 5, False),
        (2, True, True, 4, False),
    ],
)
def test_outage_for_everyone_must_be_shown(
    freshness, around, reports, own_failed, is_majority, own_revision, shown
):
    around.has_failed, around.is_majority = own_failed, is_majority
    freshness.on_revision(5)
    for number in range(reports):
        freshness.on_digest(f"host-{number}", failing(), own_revision, NOW_MS)
    assert freshness.is_fresh(own_revision, NOW_MS) is shown
    assert not freshness.is_fresh(own_revision, NOW_MS + LIMIT_MS)


def test_lone_host_is_its_own_witness(freshness, around):
    around.peer_count, around.has_failed = 0, True
    assert freshness.is_fresh(5, NOW_MS)


def test_unasked_report_of_an_outage_counts_for_nothing(freshness, around):
    around.has_failed = True
    unasked = Digest(5, UNKNOWN_AGE_MS + 10, platform_failed=True)
    freshness.on_digest("host-2", unasked, 5, NOW_MS)
    assert not freshness.is_fresh(5, NOW_MS)


@pytest.mark.parametrize(
    ("objects", "answered_ms", "confirmed_ms"),
    [
        ((), WATCH_WAIT_MS + 5, WATCH_WAIT_MS),
        ((), 50, 0),
        ((StoredObject("key", "k1", 9, None),), WATCH_WAIT_MS + 5, 0),
    ],
)
def test_watch_answer_is_dated_no_later_than_it_can_be(objects, answered_ms, confirmed_ms):
    assert _confirmed_ms(ObjectList(9, objects), 0, answered_ms) == confirmed_ms
