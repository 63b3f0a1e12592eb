"""The errors that a document of another process may raise while it is decoded.

Besides invalid JSON: missing fields, fields of another type, numbers that are infinite or have
too many digits, and nesting that exceeds the recursion limit.
"""

DECODE_ERRORS = (
    ValueError,
    TypeError,
    LookupError,
    AttributeError,
    OverflowError,
    RecursionError,
)
