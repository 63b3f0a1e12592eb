"""Rate limits of workspaces that several hosts enforce together."""

from figcrank.coordination.quotas._shared_limit import SharedLimit as SharedLimit
