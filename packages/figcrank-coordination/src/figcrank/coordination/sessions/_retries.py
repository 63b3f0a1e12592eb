"""Retry policy for failed statements, connections and commits.

A statement that may have taken effect is never sent again, and its failure is never reported as
having had no effect. A read may be repeated without harm.
"""

from enum import Enum, auto

from figcrank.protocol.sessions import SessionFailure

# One try per server of a three-server group, and one at the primary after a lagging replica.
MAX_TRIES = 4


class RetryAction(Enum):
    """Next action after a failed attempt."""

    TELL = auto()
    TRY_ELSEWHERE = auto()
    TRY_PRIMARY = auto()
    WAIT_AND_RETRY = auto()
    PREPARE_AGAIN = auto()


def after_read(failure: SessionFailure, tries: int) -> RetryAction:
    """Return the next action after a failed read.

    :param failure: why it failed; ``UNREACHABLE`` if the connection broke or did not respond.
    :param tries: number of times that it was sent.
    """
    if failure is SessionFailure.LAGGING:
        return RetryAction.TRY_PRIMARY
    if tries >= MAX_TRIES:
        return RetryAction.TELL
    if failure is SessionFailure.UNKNOWN_STATEMENT:
        return RetryAction.PREPARE_AGAIN
    if failure in (SessionFailure.MALFORMED, SessionFailure.TIMEOUT):
        return RetryAction.TELL
    if failure is SessionFailure.BUSY:
        return RetryAction.WAIT_AND_RETRY
    return RetryAction.TRY_ELSEWHERE


def after_write(failure: SessionFailure, tries: int) -> RetryAction:
    """Return the next action after a write that was sent and failed."""
    if failure is SessionFailure.UNKNOWN_STATEMENT and tries < MAX_TRIES:
        return RetryAction.PREPARE_AGAIN
    if failure in (SessionFailure.BUSY, SessionFailure.NOT_PRIMARY):
        return RetryAction.WAIT_AND_RETRY
    return RetryAction.TELL


def after_failed_connect(failure: SessionFailure) -> RetryAction:
    """Return the next action after a failed connection attempt, on which nothing was sent."""
    if failure in (SessionFailure.BUSY, SessionFailure.CONNECTION_LIMIT):
        return RetryAction.WAIT_AND_RETRY
    return RetryAction.TRY_ELSEWHERE


def after_lost_commit(wrote: bool) -> SessionFailure:
    """Return the failure to report when a commit is not answered.

    :param wrote: whether the transaction wrote data.
    """
    return SessionFailure.IN_DOUBT if wrote else SessionFailure.ABORTED
