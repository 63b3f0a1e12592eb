"""Client for the platform, with a read budget, back-off and a circuit breaker."""

from figcrank.coordination.store._platform import WATCHERS_PER_CELL as WATCHERS_PER_CELL
from figcrank.coordination.store._platform import PlatformClient as PlatformClient
