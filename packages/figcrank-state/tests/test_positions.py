import pytest

from figcrank.state import ORIGIN, Position, Session


@pytest.mark.parametrize(
    ("older", "newer"),
    [
        (ORIGIN, Position(1, 1)),
        (Position(1, 9), Position(2, 5)),
        (Position(2, 5), Position(2, 6)),
    ],
)
def test_positions_are_ordered_by_term_then_offset(older, newer):
    assert older < newer


def test_session_position_never_decreases():
    session = Session("crew").advanced("roster-1", Position(2, 7))
    assert session.advanced("roster-1", Position(1, 9)).position_in("roster-1") == Position(2, 7)


def test_session_keeps_groups_apart():
    session = Session("crew").advanced("roster-1", Position(2, 7))
    assert session.position_in("roster-2") == ORIGIN
