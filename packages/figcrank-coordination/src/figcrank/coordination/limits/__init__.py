"""Fleet-wide rate limits of workspaces, by leasing tokens from the workspace's home host."""

from figcrank.coordination.limits._limit_timings import MAX_WAIT_MS as MAX_WAIT_MS
from figcrank.coordination.limits._limits import Limiter as Limiter
from figcrank.coordination.limits._limits import LimitMessage as LimitMessage
