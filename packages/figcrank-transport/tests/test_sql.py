"""Tests that statements which would affect more than their own transaction are rejected."""

import pytest

from figcrank.transport._sql import rejection_reason


@pytest.mark.parametrize(
    "sql",
    [
        "select 1",
        "select 1;",
        "(select 1)",
        "select ';'",
        "select 'it''s; fine'",
        'select 1 as "a;b"',
        "select $tag$a;b$tag$",
        "select 1 -- a; b",
        "/* a; b */ select 1",
        "insert into t values ('commit')",
    ],
)
def test_single_statement_is_permitted(sql):
    assert rejection_reason(sql) == ""


@pytest.mark.parametrize(
    "sql",
    [
        "select 1; commit",
        "select ''; commit; --''",
        r"select E'\'; commit; --'",
        r"select '\'; commit; --'",
        "select 1 /* ; */; commit",
        "select $a$ $a$; commit",
    ],
)
def test_several_statements_are_rejected(sql):
    assert "single" in rejection_reason(sql)


@pytest.mark.parametrize(
    "sql", ["commit", "ROLLBACK", " begin", "/* x */ commit", "-- x\nset role a", "discard all"]
)
def test_transaction_or_session_statement_is_rejected(sql):
    assert "not permitted" in rejection_reason(sql)


@pytest.mark.parametrize("sql", ["", " ", ";", "--", "/* */"])
def test_empty_statement_is_rejected(sql):
    assert "empty" in rejection_reason(sql)
