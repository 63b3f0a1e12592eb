"""SQL statements, their results, and the request and response bodies of callers."""

import re

import msgspec

Scalar = str | int | float | bool | None


class Statement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An SQL statement.

    :param sql: statement text with ``%s`` placeholders.
    :param params: one value per placeholder.
    """

    sql: str
    params: tuple[Scalar, ...] = ()


class StatementResult(msgspec.Struct, frozen=True):
    """Result of one statement.

    :param columns: column names; empty if the statement returns no rows.
    :param rows: rows, with one value per column.
    :param row_count: number of rows returned or changed.
    """

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Scalar, ...], ...] = ()
    row_count: int = 0


class StatementsBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a caller's request to run statements.

    :param statements: statements to run in one transaction, in order.
    :param repeatable: whether the statements are safe to run twice.
    """

    statements: tuple[Statement, ...]
    repeatable: bool = False


class AnswerBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a successful response.

    :param results: one result per statement.
    :param served_by: backend server that ran the statements.
    :param replayed: whether the request had already run and its stored response is returned.
    :param transaction: id of the transaction that was begun, or in which the statements ran.
    """

    results: tuple[StatementResult, ...] = ()
    served_by: str = ""
    replayed: bool = False
    transaction: str = ""


_READ_KEYWORDS = frozenset({"select", "values", "show"})
# Statements that start with these may contain another statement that changes data.
_WRAPPING_KEYWORDS = frozenset({"with", "explain"})
_WRITE_KEYWORDS = frozenset(
    {"insert", "update", "delete", "replace", "create", "drop", "alter", "merge", "truncate"}
)
_LITERALS_AND_COMMENTS = re.compile(
    r"""'(?:[^']|'')*' | "(?:[^"]|"")*" | --[^\n]* | /\*.*?\*/""", re.VERBOSE | re.DOTALL
)
_KEYWORD = re.compile(r"[a-z_]+")


def is_read(statement: Statement) -> bool:
    """Return whether ``statement`` only reads, judging by its keywords.

    Literals, quoted names and comments are ignored. A statement that can't be classified counts as
    a write. Backend servers also reject changes made during a read, for example by a function.
    """
    text = _LITERALS_AND_COMMENTS.sub(" ", statement.sql).strip().lower()
    if ";" in text.rstrip(";"):
        return False
    keywords = _KEYWORD.findall(text)
    if not keywords or "into" in keywords:
        return False
    if keywords[0] in _READ_KEYWORDS:
        return True
    return keywords[0] in _WRAPPING_KEYWORDS and _WRITE_KEYWORDS.isdisjoint(keywords)
