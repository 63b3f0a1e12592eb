"""Tests that any settings text is either accepted or rejected with a described error."""

import copy
import json
from pathlib import Path

import json5
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from figcrank.protocol import SettingsError
from figcrank.transport import Settings

EXAMPLES = Path(__file__).parents[3] / "examples"
VALID = json5.loads((EXAMPLES / "host-1.json5").read_text())
BOUNDED = settings(max_examples=300, deadline=5_000, derandomize=True, database=None)

LEAVES = (
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=20)
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)


def paths(value, path=()):
    """Return the path of every member of nested dictionaries and lists."""
    items = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    return [path, *(found for key, item in items for found in paths(item, (*path, key)))]


def replaced(path, value):
    """Return the valid settings with the member at ``path`` replaced."""
    if not path:
        return value
    config = copy.deepcopy(VALID)
    container = config
    for key in path[:-1]:
        container = container[key]
    container[path[-1]] = value
    return config


def check(load):
    """Load settings and check that an error, if any, describes every problem."""
    try:
        assert isinstance(load(), Settings)
    except SettingsError as error:
        assert error.problems
        for problem in error.problems:
            assert problem.path
            assert problem.expected
            assert f"source: {problem.path}: " in str(error)


def test_example_is_valid():
    assert isinstance(Settings.from_config(VALID, "source"), Settings)


@BOUNDED
@given(st.text(max_size=200))
def test_any_text(text):
    check(lambda: Settings.from_text(text, "source"))


@BOUNDED
@given(VALUES)
def test_any_value(value):
    check(lambda: Settings.from_text(json.dumps(value), "source"))


@BOUNDED
@given(st.sampled_from(paths(VALID)), VALUES)
def test_any_member_replaced(path, value):
    check(lambda: Settings.from_config(replaced(path, value), "source"))


@pytest.mark.parametrize("text", ["[" * 100_000, '{"a":' * 5_000, "9" * 10_000, "\ud800", "\x00"])
def test_extreme_text(text):
    check(lambda: Settings.from_text(text, "source"))
