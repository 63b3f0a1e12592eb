"""Each workspace's rate and burst, counted over all hosts."""

from figcrank.coordination.quotas._shared_limit import SharedLimit as SharedLimit
