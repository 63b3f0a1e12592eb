from figcrank.coordination.peers import ViewFetches
from figcrank.coordination.peers._view_fetches import (
    FETCH_RETRY_MS,
    MAX_FETCHES,
    OFFER_LIFETIME_MS,
    STALLED_FETCH_MS,
)

A, B, C = (("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1))


def offered(*addresses, version=5, at_ms=0):
    fetches = ViewFetches()
    for address in addresses:
        fetches.record_offer(address, version, 7, at_ms)
    return fetches


def test_peer_with_a_newer_configuration_or_list_is_asked():
    assert offered(A).choose(4, 7, 0) == A
    assert offered(A).choose(5, 6, 0) == A
    assert offered(A).choose(5, 7, 0) is None


def test_one_peer_is_asked_at_a_time_while_its_response_arrives():
    fetches = offered(A, B)
    fetches.record_start(A, 0)
    assert fetches.choose(4, 7, STALLED_FETCH_MS - 1) is None
    fetches.record_progress(A, STALLED_FETCH_MS - 1)
    assert fetches.choose(4, 7, STALLED_FETCH_MS) is None


def test_fetch_from_a_silent_peer_does_not_keep_another_one_from_starting():
    """Guards against a configuration that waits for a peer that was frozen after naming it."""
    fetches = offered(A, B)
    fetches.record_start(A, 0)
    assert fetches.choose(4, 7, STALLED_FETCH_MS) == B


def test_versions_named_during_a_fetch_are_fetched_after_it():
    """Guards against a version that was dropped because a fetch was in progress."""
    fetches = offered(A)
    fetches.record_start(A, 0)
    fetches.record_offer(B, 6, 7, 100)
    assert fetches.choose(4, 7, 100) is None
    fetches.record_end(A, True, 200)
    assert fetches.choose(5, 7, 200) == B


def test_host_just_heard_is_asked_once_even_if_it_offers_nothing_newer():
    fetches = offered(A)
    fetches.record_start(A, 0)
    fetches.request(C)
    fetches.record_end(A, True, 100)
    assert fetches.choose(5, 7, 100) == C
    fetches.record_start(C, 100)
    fetches.record_end(C, True, 200)
    assert fetches.choose(5, 7, 200) is None


def test_failed_peer_is_asked_after_the_others_and_not_at_once():
    fetches = offered(A, B, at_ms=0)
    fetches.record_start(A, 0)
    fetches.record_end(A, False, 1)
    fetches.record_offer(A, 5, 7, 1)
    assert fetches.choose(4, 7, 1) == B
    fetches.record_start(B, 1)
    fetches.record_end(B, False, 2)
    assert fetches.choose(4, 7, 2) is None
    fetches.record_offer(A, 5, 7, FETCH_RETRY_MS)
    assert fetches.choose(4, 7, 1 + FETCH_RETRY_MS) == A


def test_peer_is_asked_again_only_after_its_next_heartbeat():
    """Guards against fetching the same view again and again from a peer that leaves a part out."""
    fetches = offered(A)
    fetches.record_start(A, 0)
    fetches.record_end(A, True, 5)
    assert fetches.choose(4, 7, 5) is None


def test_offers_of_silent_peers_and_fetches_are_bounded():
    fetches = offered(A, at_ms=0)
    assert fetches.choose(4, 7, OFFER_LIFETIME_MS + 1) is None
    for number in range(MAX_FETCHES):
        fetches.record_start(("10.0.1.1", number), 0)
    fetches.record_offer(B, 9, 7, STALLED_FETCH_MS)
    assert fetches.choose(4, 7, STALLED_FETCH_MS) is None
