"""HTTP, UDP and database input and output for a figcrank host core, based on Eventlet."""

from figcrank.state._lazy import lazy_names

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
__getattr__ = lazy_names(__name__, _MODULE_OF)
