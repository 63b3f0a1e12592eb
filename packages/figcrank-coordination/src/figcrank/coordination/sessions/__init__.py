"""Retry policy of sessions: the next action after a failed statement, connection or commit."""

from figcrank.coordination.sessions._retries import RetryAction as RetryAction
from figcrank.coordination.sessions._retries import after_failed_connect as after_failed_connect
from figcrank.coordination.sessions._retries import after_lost_commit as after_lost_commit
from figcrank.coordination.sessions._retries import after_read as after_read
from figcrank.coordination.sessions._retries import after_write as after_write
