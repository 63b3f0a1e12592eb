"""Statements that would escape their transaction are refused."""

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
def test_several_statements_are_refused(sql):
    assert "single" in rejection_reason(sql)


@pytest.mark.parametrize(
    "sql", ["commit", "ROLLBACK", " begin", "/* x */ commit", "-- x\nset role a", "discard all"]
)
def test_session_statement_is_refused(sql):
    assert "not permitted" in rejection_reason(sql)


@pytest.mark.parametrize("sql", ["", " ", ";", "--", "/* */"])
def test_empty_statement_is_refused(sql):
    assert "empty" in rejection_reason(sql)
