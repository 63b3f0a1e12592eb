"""Which rounds of status queries prove a position; each case is a read that would be stale."""

import pytest

from figcrank.coordination.primaries import proven_position
from figcrank.protocol.sessions import ServerReport
from figcrank.state import Position

PRIMARY = ServerReport(True, 3, Position(3, 90))
REPLICA = ServerReport(False, 3, Position(3, 80))


def test_only_primary_of_the_newest_term_proves_its_position():
    assert proven_position([REPLICA, PRIMARY, REPLICA]) == Position(3, 90)


def test_primary_without_a_write_of_its_own_term_proves_its_position():
    promoted = ServerReport(True, 4, Position(3, 85))
    assert proven_position([promoted, REPLICA, REPLICA]) == Position(3, 85)


@pytest.mark.parametrize(
    ("reports", "case"),
    [
        ([PRIMARY, REPLICA, None], "the silent server may have been promoted"),
        ([PRIMARY, REPLICA, ServerReport(True, 4, Position(4, 1))], "another was promoted"),
        ([PRIMARY, REPLICA, ServerReport(False, 4, Position(4, 1))], "a replica follows another"),
        ([REPLICA, REPLICA, REPLICA], "no server is the primary"),
        ([PRIMARY], "the group is not known"),
        ([], "the group is not known"),
        ([ServerReport(True, 3, None), REPLICA], "the primary reports no position"),
    ],
)
def test_other_rounds_prove_nothing(reports, case):
    assert proven_position(reports) is None, case
