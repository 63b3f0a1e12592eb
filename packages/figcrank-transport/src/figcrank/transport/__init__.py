"""Eventlet servers and clients that drive a figcrank host core."""

from figcrank.transport._clock import MonotonicClock as MonotonicClock
from figcrank.transport._driver import HostDriver as HostDriver
from figcrank.transport._http_client import HttpCallError as HttpCallError
from figcrank.transport._http_client import HttpClient as HttpClient
from figcrank.transport._http_client import HttpReply as HttpReply
from figcrank.transport._process import HostProcess as HostProcess
from figcrank.transport._psycopg import Login as Login
from figcrank.transport._settings import HostSettings as HostSettings
from figcrank.transport._settings import Settings as Settings
from figcrank.transport._telemetry import configure_logging as configure_logging
