"""Whether a server answers, judged by the work that it is given."""

FIRST_BACKOFF_MS = 100  # a crashed process is back after a second at the least
MAX_BACKOFF_MS = 1_000  # a returned server is found within a second
LATENCY_WEIGHT = 0.1  # weight of the newest answer in the moving average
START_LATENCY_MS = 5.0  # below any real one, so that a server without work so far gets some


class ServerHealth:
    """Successes and failures of one server as this host sees them."""

    def __init__(self) -> None:
        self.latency_ms = START_LATENCY_MS
        self.ok_ms = 0
        self.failing_since_ms: int | None = None
        self.refused_ms: int | None = None
        self._backoff_ms = FIRST_BACKOFF_MS
        self._retry_ms = 0
        self._failed_share = 0.0

    def answered(self, now_ms: int, took_ms: float | None = None) -> None:
        """Count an answer.

        :param took_ms: how long it took; ``None`` where that says nothing of the load.
        """
        self.ok_ms = now_ms
        self.failing_since_ms = None
        self.refused_ms = None
        self._backoff_ms = FIRST_BACKOFF_MS
        self._retry_ms = 0
        if took_ms is not None:
            self.latency_ms += LATENCY_WEIGHT * (took_ms - self.latency_ms)

    def failed(self, now_ms: int, refused: bool = False) -> None:
        """Count a connection that failed, was lost or stayed silent.

        :param refused: whether no process listens at the server's address.
        """
        if self.failing_since_ms is None:
            self.failing_since_ms = now_ms
        if refused:
            self.refused_ms = now_ms
        if now_ms >= self._retry_ms:
            self._retry_ms = now_ms + self._backoff_ms
            self._backoff_ms = min(MAX_BACKOFF_MS, 2 * self._backoff_ms)

    def statement_ended(self, succeeded: bool) -> None:
        """Count whether a statement that ran gave its result."""
        self._failed_share += LATENCY_WEIGHT * ((0.0 if succeeded else 1.0) - self._failed_share)

    @property
    def failed_share(self) -> float:
        """Return the share of late statements that ran without giving their result."""
        return self._failed_share

    def usable(self, now_ms: int) -> bool:
        """Return whether work may be sent now."""
        return self.failing_since_ms is None or now_ms >= self._retry_ms

    def failing_for_ms(self, now_ms: int) -> int:
        """Return for how long the server has failed without a success between."""
        return 0 if self.failing_since_ms is None else now_ms - self.failing_since_ms
