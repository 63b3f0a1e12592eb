"""Retry policy of sessions, and why callers are refused."""

from figcrank.coordination.sessions._recent_refusals import REFUSALS_WINDOW_MS as REFUSALS_WINDOW_MS
from figcrank.coordination.sessions._recent_refusals import RecentRefusals as RecentRefusals
from figcrank.coordination.sessions._refusal_reason import RefusalReason as RefusalReason
from figcrank.coordination.sessions._refusal_reason import reason_of_primary as reason_of_primary
from figcrank.coordination.sessions._refusal_reason import (
    reason_of_rejection as reason_of_rejection,
)
from figcrank.coordination.sessions._retries import RetryAction as RetryAction
from figcrank.coordination.sessions._retries import after_failed_connect as after_failed_connect
from figcrank.coordination.sessions._retries import after_lost_commit as after_lost_commit
from figcrank.coordination.sessions._retries import after_read as after_read
from figcrank.coordination.sessions._retries import after_write as after_write
from figcrank.coordination.sessions._stop_plan import HostLifetime as HostLifetime
from figcrank.coordination.sessions._stop_plan import StopPlan as StopPlan
