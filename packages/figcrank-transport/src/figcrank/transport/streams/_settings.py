"""Settings of one host of the session proxy."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SessionHostSettings:
    """What a host is told at its start.

    :param host: its name.
    :param availability_zone: where it runs.
    :param caller_address: ``(ip, port)`` for callers.
    :param readiness_address: ``(ip, port)`` of the readiness check.
    :param peer_address: ``(ip, port)`` for heartbeats (UDP) and views (TCP).
    :param metrics_address: ``(ip, port)`` of the metrics.
    :param seeds: heartbeat addresses of a few hosts that may be up.
    :param grace_ms: time between the order to stop and the end of the process.
    :param limit_headroom: operations by which any span of time may pass a workspace's limit.
    """

    host: str
    availability_zone: str
    caller_address: tuple[str, int]
    readiness_address: tuple[str, int]
    peer_address: tuple[str, int]
    metrics_address: tuple[str, int]
    seeds: tuple[tuple[str, int], ...] = ()
    grace_ms: int = 6_000
    limit_headroom: float = 0.0
