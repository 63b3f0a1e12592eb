"""Why a caller is refused: the label of the counter and of the recent refusals.

Addresses load at several times the rate of some workspaces while primaries are replaced: without
the reason, refusals that the limit of a workspace demands hide those that overload or a failure
causes.
"""

from enum import Enum

from figcrank.coordination.admission import RejectionReason
from figcrank.coordination.fleet import PrimaryUse


class RefusalReason(Enum):
    """Why nothing of an operation has run. The value is a label of metrics."""

    OVER_LIMIT = "over_limit"  # the workspace's rate limit demands it
    DEADLINE = "deadline"  # it could not end before its deadline in a server's queue
    QUEUE_FULL = "queue_full"  # too many statements wait for the server
    DISCONNECTED = "disconnected"  # the caller closed its connection before the statement ran
    PRIMARY_MOVING = "primary_moving"  # the primary is being replaced
    PRIMARY_UNKNOWN = "primary_unknown"  # the group has no primary record
    PRIMARY_FAILED = "primary_failed"  # the primary does not answer
    NO_LEASE = "no_lease"  # this host reaches neither a majority nor the store
    EVACUATED = "evacuated"  # only a server in an evacuated availability zone could run it
    REGION = "region"  # no server or host of an allowed region can run it
    COLD = "cold"  # only a server that has just started could run it
    SERVER_BUSY = "server_busy"  # a server rejected the statement or the connection for it
    NO_SERVER = "no_server"  # no server could be reached or was suitable in time
    NO_OWNER = "no_owner"  # this relay found no owner for the session, or lost it
    STOPPING = "stopping"  # this host is being stopped
    CONFIGURATION = "configuration"  # this host has no configuration, or an outdated one


def reason_of_rejection(reason: RejectionReason) -> RefusalReason:
    """Return why a caller is refused whose statement a server's queue did not admit."""
    if reason in (RejectionReason.FULL, RejectionReason.DISPLACED):
        return RefusalReason.QUEUE_FULL
    if reason is RejectionReason.DISCONNECTED:
        return RefusalReason.DISCONNECTED
    return RefusalReason.DEADLINE


def reason_of_primary(use: PrimaryUse) -> RefusalReason:
    """Return why a caller is refused that waited in vain for a primary.

    :param use: use of the primary at the end of the wait; if it is usable by the record, the
        server does not answer.
    """
    return {
        PrimaryUse.MOVING: RefusalReason.PRIMARY_MOVING,
        PrimaryUse.UNKNOWN: RefusalReason.PRIMARY_UNKNOWN,
        PrimaryUse.NO_LEASE: RefusalReason.NO_LEASE,
        PrimaryUse.USABLE: RefusalReason.PRIMARY_FAILED,
    }[use]
