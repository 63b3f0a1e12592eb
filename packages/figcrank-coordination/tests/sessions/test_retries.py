import pytest

from figcrank.coordination.sessions import (
    RetryAction,
    after_failed_connect,
    after_lost_commit,
    after_read,
    after_write,
)
from figcrank.protocol.sessions import SessionFailure

NOT_RUN = (
    SessionFailure.BUSY,
    SessionFailure.NOT_PRIMARY,
    SessionFailure.UNKNOWN_STATEMENT,
)


@pytest.mark.parametrize("failure", list(SessionFailure))
def test_a_write_that_may_have_run_is_never_sent_again(failure):
    if failure not in NOT_RUN:
        assert after_write(failure, tries=1) is RetryAction.TELL


@pytest.mark.parametrize("failure", NOT_RUN)
def test_a_write_that_did_not_run_is_sent_again(failure):
    assert after_write(failure, tries=1) is not RetryAction.TELL


def test_a_lost_commit_is_in_doubt_only_if_something_was_written():
    assert after_lost_commit(wrote=True) is SessionFailure.IN_DOUBT
    assert after_lost_commit(wrote=False) is SessionFailure.ABORTED


def test_read_at_a_lagging_replica_is_retried_at_the_primary():
    assert after_read(SessionFailure.LAGGING, tries=1) is RetryAction.TRY_PRIMARY


@pytest.mark.parametrize("failure", [SessionFailure.UNREACHABLE, SessionFailure.FAILED])
def test_failed_read_is_retried_elsewhere_a_bounded_number_of_times(failure):
    actions = [after_read(failure, tries) for tries in range(1, 6)]
    assert actions[0] is RetryAction.TRY_ELSEWHERE
    assert actions[-1] is RetryAction.TELL


def test_connection_to_a_server_at_its_limit_is_retried_after_a_wait():
    assert after_failed_connect(SessionFailure.CONNECTION_LIMIT) is RetryAction.WAIT_AND_RETRY
    assert after_failed_connect(SessionFailure.UNREACHABLE) is RetryAction.TRY_ELSEWHERE
