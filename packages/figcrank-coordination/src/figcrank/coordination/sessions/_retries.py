"""What follows a statement that did not succeed.

A statement that may have run with an effect is never sent again, and its caller is never told that
nothing is kept. A read may run any number of times.
"""

from enum import Enum, auto

from figcrank.protocol.sessions import SessionFailure

MAX_READ_TRIES = 4  # a group has three servers; one more for the primary after a replica that lags


class Step(Enum):
    """What to do after a failed try."""

    TELL = auto()
    TRY_ELSEWHERE = auto()
    TRY_PRIMARY = auto()
    WAIT_AND_RETRY = auto()
    PREPARE_AGAIN = auto()


def after_read(failure: SessionFailure, tries: int) -> Step:
    """Return what follows a read that failed.

    :param failure: why it failed; ``UNREACHABLE`` for a connection that broke or stayed silent.
    :param tries: how often it was sent.
    """
    if failure is SessionFailure.LAGGING:
        return Step.TRY_PRIMARY
    if tries >= MAX_READ_TRIES:
        return Step.TELL
    if failure is SessionFailure.UNKNOWN_STATEMENT:
        return Step.PREPARE_AGAIN
    if failure in (SessionFailure.MALFORMED, SessionFailure.TIMEOUT):
        return Step.TELL
    if failure is SessionFailure.BUSY:
        return Step.WAIT_AND_RETRY
    return Step.TRY_ELSEWHERE


def after_write(failure: SessionFailure, tries: int) -> Step:
    """Return what follows a write that was sent and failed."""
    if failure is SessionFailure.UNKNOWN_STATEMENT and tries < MAX_READ_TRIES:
        return Step.PREPARE_AGAIN
    if failure in (SessionFailure.BUSY, SessionFailure.NOT_PRIMARY):
        return Step.WAIT_AND_RETRY
    return Step.TELL


def after_failed_start(failure: SessionFailure) -> Step:
    """Return what follows a connection that could not be opened: nothing was sent on it."""
    if failure in (SessionFailure.BUSY, SessionFailure.CONNECTION_LIMIT):
        return Step.WAIT_AND_RETRY
    return Step.TRY_ELSEWHERE


def after_lost_commit(wrote: bool) -> SessionFailure:
    """Return what is told when the answer to a commit does not come."""
    return SessionFailure.IN_DOUBT if wrote else SessionFailure.ABORTED
