"""Settings of a session proxy host."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SessionHostSettings:
    """Settings of a session proxy host.

    :param host: name of the host.
    :param availability_zone: availability zone of the host.
    :param caller_address: ``(ip, port)`` to listen on for callers.
    :param readiness_address: ``(ip, port)`` of the readiness check.
    :param peer_address: ``(ip, port)`` for heartbeats (UDP) and views (TCP).
    :param metrics_address: ``(ip, port)`` of the metrics endpoint.
    :param relay_port: port on which hosts accept relayed sessions (TCP) and status queries (UDP);
        the same on all hosts.
    :param availability_zones: every availability zone of the fleet.
    :param seeds: heartbeat addresses of hosts to contact first; some may be down.
    :param grace_ms: time from ``SIGTERM`` until the process is killed.
    :param limit_headroom: operations by which a workspace may exceed its limit in any period.
    """

    host: str
    availability_zone: str
    caller_address: tuple[str, int]
    readiness_address: tuple[str, int]
    peer_address: tuple[str, int]
    metrics_address: tuple[str, int]
    relay_port: int
    availability_zones: tuple[str, ...]
    seeds: tuple[tuple[str, int], ...] = ()
    grace_ms: int = 6_000
    limit_headroom: float = 0.0
