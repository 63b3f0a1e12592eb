"""The rejection of a statement that has not run."""

from dataclasses import dataclass
from enum import Enum


class RejectionReason(Enum):
    """Why a statement was rejected. The value is the label of the counter."""

    DEADLINE = "deadline"  # on arrival: it could not end before its deadline
    EXPIRED = "expired"  # while it waited: it could no longer end before its deadline
    FULL = "full"  # on arrival: too many statements wait and none of them gives way
    DISPLACED = "displaced"  # it was late and gave way to a statement that could be in time
    DISCONNECTED = "disconnected"  # its caller has disconnected


@dataclass(frozen=True, slots=True)
class Rejection:
    """The rejection of a statement.

    :param reason: why it was rejected.
    :param retry_after_ms: time after which capacity is expected to be free for it.
    """

    reason: RejectionReason
    retry_after_ms: int
