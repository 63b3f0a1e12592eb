"""Statements, their results and the answers that callers get."""

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


_READ_WORDS = frozenset({"select", "values", "with", "explain", "show"})
_WRITE_WORDS = ("insert", "update", "delete", "replace", "create", "drop", "alter", "merge")


def is_read(statement: Statement) -> bool:
    """Return whether ``statement`` only reads, judged by its leading words.

    A ``WITH`` that contains a changing keyword counts as a write; when in doubt it is a write.
    """
    words = statement.sql.lower().replace("(", " ").split()
    if not words or words[0] not in _READ_WORDS:
        return False
    if ";" in statement.sql.rstrip().rstrip(";"):
        return False
    return not any(word in _WRITE_WORDS for word in words[1:]) and "into" not in words
