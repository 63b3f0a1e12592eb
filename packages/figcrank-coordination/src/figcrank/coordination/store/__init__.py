"""Calls to the deployment's store: a budget, back-off, and what breaks the circuit."""

from figcrank.coordination.store._platform import WATCHERS_PER_CELL as WATCHERS_PER_CELL
from figcrank.coordination.store._platform import PlatformClient as PlatformClient
