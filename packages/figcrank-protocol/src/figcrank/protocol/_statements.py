"""Statements, their results and the answers that callers get."""

import re

import msgspec

Scalar = str | int | float | bool | None


class Statement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One SQL statement.

    :param sql: statement text with ``%s`` placeholders.
    :param params: one value for each placeholder.
    """

    sql: str
    params: tuple[Scalar, ...] = ()


class StatementResult(msgspec.Struct, frozen=True):
    """What one statement returned.

    :param columns: column names; empty for a statement without rows.
    :param rows: the rows, one value a column.
    :param row_count: rows returned or changed.
    """

    columns: tuple[str, ...] = ()
    rows: tuple[tuple[Scalar, ...], ...] = ()
    row_count: int = 0


class StatementsBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a caller's request to run statements.

    :param statements: statements to run in one transaction, in order.
    :param repeatable: whether running them twice does no harm.
    """

    statements: tuple[Statement, ...]
    repeatable: bool = False


class AnswerBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of a successful answer.

    :param results: one result a statement.
    :param served_by: backend server that ran the statements.
    :param replayed: whether the request had run before and its kept answer is given.
    :param transaction: id of the transaction that was begun, or that the statements ran in.
    """

    results: tuple[StatementResult, ...] = ()
    served_by: str = ""
    replayed: bool = False
    transaction: str = ""


_READ_KEYWORDS = frozenset({"select", "values", "show"})
# A statement that begins so may contain one that changes data.
_WRAPPING_KEYWORDS = frozenset({"with", "explain"})
_WRITE_KEYWORDS = frozenset(
    {"insert", "update", "delete", "replace", "create", "drop", "alter", "merge", "truncate"}
)
_LITERALS_AND_COMMENTS = re.compile(
    r"""'(?:[^']|'')*' | "(?:[^"]|"")*" | --[^\n]* | /\*.*?\*/""", re.VERBOSE | re.DOTALL
)
_KEYWORD = re.compile(r"[a-z_]+")


def is_read(statement: Statement) -> bool:
    """Return whether ``statement`` only reads, judged by its keywords.

    Literals, quoted names and comments do not count. When in doubt it is a write. A backend server
    refuses changes within a read as well, such as those that a function makes.
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
