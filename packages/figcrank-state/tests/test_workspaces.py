import pytest

from figcrank.state import Key, PresentedKey


@pytest.mark.parametrize("text", ["", "fck", "fck_a", "fck__b", "fck_a_", "abc_a_b", "fck_a_b_c"])
def test_malformed_key_is_rejected(text):
    assert PresentedKey.from_text(text) is None


def test_key_text_round_trip():
    key = PresentedKey("k1", "secret")
    assert PresentedKey.from_text(key.to_text()) == key


def test_repr_omits_the_secret():
    assert "secret" not in repr(PresentedKey("k1", "secret"))


@pytest.mark.parametrize(("secret", "matches"), [("secret", True), ("Secret", False), ("", False)])
def test_stored_key_matches_only_its_secret(secret, matches):
    assert Key.from_secret("k1", "crew-1", "salt", "secret").matches(secret) is matches
