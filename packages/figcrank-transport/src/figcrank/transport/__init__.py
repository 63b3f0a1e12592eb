"""Eventlet servers and clients that drive a figcrank host core."""

import importlib

_MODULE_OF = {
    "MonotonicClock": "figcrank.transport._clock",
    "HostDriver": "figcrank.transport._driver",
    "HttpCallError": "figcrank.transport._http_client",
    "HttpClient": "figcrank.transport._http_client",
    "HttpReply": "figcrank.transport._http_client",
    "HostProcess": "figcrank.transport._process",
    "Login": "figcrank.transport._psycopg",
    "HostSettings": "figcrank.transport._settings",
    "Settings": "figcrank.transport._settings",
    "configure_logging": "figcrank.transport._telemetry",
}
__all__ = list(_MODULE_OF)


def __getattr__(name: str) -> object:
    """Import a public name on its first use, so that a process loads only what it needs."""
    module = _MODULE_OF.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    value = getattr(importlib.import_module(module), name)
    globals()[name] = value
    return value
