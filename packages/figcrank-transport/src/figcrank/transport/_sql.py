"""Checks that keep one caller's statement from touching what it does not own."""

import re

# Statements that end the surrounding transaction or change a pooled connection's session.
_SESSION_WORDS = frozenset(
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
_STANDARD = re.compile(rf"'(?:[^']|'')*'|{_QUOTED}|{_COMMENT}", re.DOTALL)
_ESCAPED = re.compile(rf"'(?:[^'\\]|''|\\.)*'|{_QUOTED}|{_COMMENT}", re.DOTALL)


def refusal_of(sql: str) -> str:
    """Return why the rendered statement may not run, empty if it may.

    :param sql: statement text with its parameters filled in.
    """
    if _is_several(sql):
        return "A statement must be a single SQL statement."
    word = _first_word(sql)
    if not word:
        return "A statement must not be empty."
    if word in _SESSION_WORDS:
        return f"The statement {word.upper()} is not permitted."
    return ""


def _is_several(sql: str) -> bool:
    """Tell whether a semicolon separates statements under either reading of backslashes."""
    if ";" not in sql.rstrip("; \t\r\n"):
        return False
    return any(_has_inner_semicolon(pattern.sub(" ", sql)) for pattern in (_STANDARD, _ESCAPED))


def _has_inner_semicolon(text: str) -> bool:
    return ";" in text.rstrip("; \t\r\n")


def _first_word(sql: str) -> str:
    text = sql.lstrip(" \t\r\n(;")
    if text.startswith(("--", "/*")):
        text = re.sub(_COMMENT, " ", text, flags=re.DOTALL).lstrip(" \t\r\n(;")
    match = re.match(r"[a-zA-Z_]+", text)
    return match.group().lower() if match else ""
