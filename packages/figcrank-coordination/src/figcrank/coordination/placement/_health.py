"""Health of a server, derived from the results of the work sent to it."""

INITIAL_BACKOFF_MS = 100  # a crashed process takes at least a second to come back
MAX_BACKOFF_MS = 1_000  # a server that is back is detected within a second
MOVING_AVERAGE_WEIGHT = 0.1  # of the newest result
INITIAL_LATENCY_MS = 5.0  # below any real latency, so that a server without results gets work


class ServerHealth:
    """Latency, failures and retry backoff of one server, as observed by this host."""

    def __init__(self) -> None:
        self.latency_ms = INITIAL_LATENCY_MS
        self.last_response_ms = 0
        self.failing_since_ms: int | None = None
        self.last_refused_ms: int | None = None
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._retry_ms = 0
        self._failed_share = 0.0
        self.last_result_ms = 0  # time of the last response or failure

    def record_answer(self, now_ms: int, took_ms: float | None = None) -> None:
        """Record a response and reset the backoff.

        :param took_ms: its latency; ``None`` if it does not reflect the server's load.
        """
        self.last_response_ms = self.last_result_ms = now_ms
        self.failing_since_ms = None
        self.last_refused_ms = None
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._retry_ms = 0
        if took_ms is not None:
            self.latency_ms += MOVING_AVERAGE_WEIGHT * (took_ms - self.latency_ms)

    def record_failure(self, now_ms: int, refused: bool = False) -> None:
        """Record a connection that could not be opened, was lost or timed out.

        :param refused: whether no process listens at the server's address.
        """
        self.last_result_ms = now_ms
        if self.failing_since_ms is None:
            self.failing_since_ms = now_ms
        if refused:
            self.last_refused_ms = now_ms
        if now_ms >= self._retry_ms:
            self._retry_ms = now_ms + self._backoff_ms
            self._backoff_ms = min(MAX_BACKOFF_MS, 2 * self._backoff_ms)

    def record_statement(self, succeeded: bool) -> None:
        """Record whether a statement that was run returned its result."""
        self._failed_share += MOVING_AVERAGE_WEIGHT * (
            (0.0 if succeeded else 1.0) - self._failed_share
        )

    @property
    def failed_share(self) -> float:
        """Return the share of recent statements that were run but did not return their result."""
        return self._failed_share

    def usable(self, now_ms: int) -> bool:
        """Return whether work may be sent to the server now."""
        return self.failing_since_ms is None or now_ms >= self._retry_ms

    def failing_for_ms(self, now_ms: int) -> int:
        """Return the time since the first failure after the last response, 0 if there is none."""
        return 0 if self.failing_since_ms is None else now_ms - self.failing_since_ms
