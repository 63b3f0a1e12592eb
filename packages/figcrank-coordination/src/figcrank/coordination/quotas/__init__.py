"""Rate limits of workspaces without a home host: hosts report their admissions to each other."""

from figcrank.coordination.quotas._shared_limit import SharedLimit as SharedLimit
