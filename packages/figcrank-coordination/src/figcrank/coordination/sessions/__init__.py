"""Retry policy of sessions: the next action after a failed statement, connection or commit."""

from figcrank.coordination.sessions._retries import Step as Step
from figcrank.coordination.sessions._retries import after_failed_start as after_failed_start
from figcrank.coordination.sessions._retries import after_lost_commit as after_lost_commit
from figcrank.coordination.sessions._retries import after_read as after_read
from figcrank.coordination.sessions._retries import after_write as after_write
