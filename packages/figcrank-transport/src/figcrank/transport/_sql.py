"""Checks that keep a caller's statement within its own transaction."""

import re

# Statements that end the enclosing transaction or change the session state of a pooled connection.
_FORBIDDEN_KEYWORDS = frozenset(
    {
        "abort",
        "begin",
        "checkpoint",
        "close",
        "commit",
        "copy",
        "deallocate",
        "declare",
        "discard",
        "do",
        "end",
        "execute",
        "listen",
        "load",
        "lock",
        "notify",
        "prepare",
        "release",
        "reset",
        "rollback",
        "savepoint",
        "set",
        "start",
        "unlisten",
    }
)
_COMMENT = r"--[^\n]*|/\*.*?\*/"
_QUOTED = r"\"(?:[^\"]|\"\")*\"|\$(\w*)\$.*?\$\1\$"
_STANDARD_STRINGS = re.compile(rf"'(?:[^']|'')*'|{_QUOTED}|{_COMMENT}", re.DOTALL)
_ESCAPE_STRINGS = re.compile(rf"'(?:[^'\\]|''|\\.)*'|{_QUOTED}|{_COMMENT}", re.DOTALL)


def rejection_reason(sql: str) -> str:
    """Return why the statement is rejected, empty if it is permitted.

    :param sql: statement text with its parameters interpolated.
    """
    if _has_several_statements(sql):
        return "A statement must be a single SQL statement."
    keyword = _first_keyword(sql)
    if not keyword:
        return "A statement must not be empty."
    if keyword in _FORBIDDEN_KEYWORDS:
        return f"The statement {keyword.upper()} is not permitted."
    return ""


def _has_several_statements(sql: str) -> bool:
    """Return whether a semicolon separates statements, with or without backslash escapes."""
    if ";" not in sql.rstrip("; \t\r\n"):
        return False
    return any(
        _has_inner_semicolon(pattern.sub(" ", sql))
        for pattern in (_STANDARD_STRINGS, _ESCAPE_STRINGS)
    )


def _has_inner_semicolon(text: str) -> bool:
    return ";" in text.rstrip("; \t\r\n")


def _first_keyword(sql: str) -> str:
    text = sql.lstrip(" \t\r\n(;")
    if text.startswith(("--", "/*")):
        text = re.sub(_COMMENT, " ", text, flags=re.DOTALL).lstrip(" \t\r\n(;")
    match = re.match(r"[a-zA-Z_]+", text)
    return match.group().lower() if match else ""
