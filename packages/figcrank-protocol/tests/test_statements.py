import pytest

from figcrank.protocol import Statement, is_read


@pytest.mark.parametrize(
    "sql",
    [
        "select 1",
        "  SELECT crew FROM shift;",
        "(select 1)",
        "VALUES (1)",
        "SELECT replace(crew, 'a', 'b') FROM shift",
        "SELECT * FROM shift WHERE note = 'please update; or delete'",
        "SELECT * FROM shift WHERE note = 'it''s into this'",
        'SELECT "update" FROM shift',
        "SELECT 1 -- delete later",
        "/* insert */ SELECT 1",
        "WITH night AS (SELECT 1) SELECT * FROM night",
        "EXPLAIN SELECT 1",
    ],
)
def test_read_only_statement_is_classified_as_read(sql):
    assert is_read(Statement(sql))


@pytest.mark.parametrize(
    "sql",
    [
        "",
        ";",
        "INSERT INTO shift VALUES (1)",
        "update shift set crew = 'x'",
        "SELECT * INTO copy FROM shift",
        "WITH gone AS (DELETE FROM shift RETURNING *) SELECT * FROM gone",
        "EXPLAIN ANALYZE DELETE FROM shift",
        "SELECT 1; DELETE FROM shift",
        "PRAGMA query_only = 0",
        "BEGIN",
        "SELECT 'unfinished; DELETE FROM shift",
    ],
)
def test_statement_that_may_write_is_not_classified_as_read(sql):
    assert not is_read(Statement(sql))
