"""Splitting query strings and recognising the statements that are not SQLite's."""

import re
import sqlite3
from enum import StrEnum

import msgspec

from figcrank.protocol import Scalar, WorkFailureKind
from figcrank.standins._errors import WorkError

_TOKEN = re.compile(
    r"""'(?:[^']|'')*'|"(?:[^"]|"")*"|--[^\n]*|/\*.*?\*/|;|[^;'"/\-]+|.""", re.DOTALL
)
_COMMENT = re.compile(r"\s*(?:--[^\n]*(?:\n|$)|/\*.*?\*/)", re.DOTALL)
_FUNCTIONS = (
    "group_status",
    "group_fence",
    "group_promote",
    "group_follow",
    "group_lookup",
    "group_guard_read",
    "group_guard_write",
    "group_record",
    "group_result",
    "standin_set",
)
_CALL = re.compile(
    rf"SELECT\s+({'|'.join(_FUNCTIONS)})\s*\((.*)\)(?:\s+AS\s+\w+)?", re.IGNORECASE | re.DOTALL
)


class Verb(StrEnum):
    """What a statement asks of the session."""

    BEGIN = "BEGIN"
    COMMIT = "COMMIT"
    ROLLBACK = "ROLLBACK"
    SETTING = "SET"
    CALL = "CALL"
    STATEMENT = "STATEMENT"


_VERBS = {
    "begin": Verb.BEGIN,
    "start": Verb.BEGIN,
    "commit": Verb.COMMIT,
    "end": Verb.COMMIT,
    "rollback": Verb.ROLLBACK,
    "abort": Verb.ROLLBACK,
    "set": Verb.SETTING,
    "reset": Verb.SETTING,
    "show": Verb.SETTING,
    "discard": Verb.SETTING,
}


class ParsedStatement(msgspec.Struct, frozen=True):
    """One statement of a query string.

    :param verb: what it asks.
    :param sql: its text without the semicolon.
    :param function: name of the function for :attr:`Verb.CALL`.
    :param arguments: arguments of that function.
    """

    verb: Verb
    sql: str
    function: str = ""
    arguments: tuple[Scalar, ...] = ()

    @property
    def is_read_only(self) -> bool:
        """Return whether a ``BEGIN`` asks for a transaction that only reads."""
        return "read only" in " ".join(self.sql.lower().split())


def parse_query(text: str) -> tuple[ParsedStatement, ...]:
    """Return the statements of a query string.

    :raises WorkError: if the arguments of a function are not literals.
    """
    return tuple(_parse_statement(sql) for sql in _split(text))


def _split(text: str) -> list[str]:
    statements = [""]
    for token in _TOKEN.findall(text):
        if token == ";":
            statements.append("")
        else:
            statements[-1] += token
    return [sql for sql in map(_without_leading_comments, statements) if sql]


def _without_leading_comments(sql: str) -> str:
    while found := _COMMENT.match(sql):
        sql = sql[found.end() :]
    return sql.strip()


def _parse_statement(sql: str) -> ParsedStatement:
    call = _CALL.fullmatch(sql)
    if call:
        function = call[1].lower()
        return ParsedStatement(Verb.CALL, sql, function, _literals(function, call[2]))
    words = sql.split(maxsplit=1)
    return ParsedStatement(_VERBS.get(words[0].lower(), Verb.STATEMENT), sql)


def _literals(function: str, text: str) -> tuple[Scalar, ...]:
    if not text.strip():
        return ()
    scratch = sqlite3.connect(":memory:")
    try:
        return scratch.execute(f"SELECT {text}").fetchone()
    except sqlite3.Error as error:
        message = f"{function} takes literals: {error}."
        raise WorkError(WorkFailureKind.SQL, "42601", message) from error
    finally:
        scratch.close()
