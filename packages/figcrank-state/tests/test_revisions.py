import pytest

from figcrank.state import era_of, number_of, revision_of


def test_revision_of_a_store_without_eras_is_the_stores_number():
    assert revision_of(0, 0) == 0
    assert revision_of(0, 4_711) == 4_711


def test_revision_of_a_newer_era_is_newer_although_its_number_is_lower():
    assert revision_of(1, 5) > revision_of(0, 900_000_000)
    assert revision_of(2, 6) > revision_of(2, 5)


@pytest.mark.parametrize(("era", "number"), [(0, 1), (1, 0), (3, 2**40 - 1), (8_191, 77)])
def test_era_and_number_are_read_back(era, number):
    revision = revision_of(era, number)
    assert (era_of(revision), number_of(revision)) == (era, number)
    assert revision < 2**53


@pytest.mark.parametrize(("era", "number"), [(-1, 5), (0, -1), (0, 2**40)])
def test_number_that_would_change_the_era_is_rejected(era, number):
    with pytest.raises(ValueError, match="no revision"):
        revision_of(era, number)
