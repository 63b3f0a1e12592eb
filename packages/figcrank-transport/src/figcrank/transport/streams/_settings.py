"""Settings of a session proxy host."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from figcrank.coordination.fleet import DEFAULT_BOUND_MS


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
    :param configuration_bound_ms: time after the acknowledgement of a configuration from which on
        it has to be in force at every host.
    :param regions: region of each availability zone.
    :param evacuation_ms: time after the acknowledgement of an availability zone's evacuation from
        which on no statement may reach a server there; 0 if zones can't be evacuated.
    :param cold_overage: factor by which the load of a cold server may exceed its group's
        :attr:`~figcrank.state._catalog.GroupPolicy.cold_per_s`; ``None`` if it is not limited.
    :param cold_headroom: statements per second allowed to a cold server besides.
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
    configuration_bound_ms: int = DEFAULT_BOUND_MS
    regions: Mapping[str, str] = field(default_factory=dict)
    evacuation_ms: int = 0
    cold_overage: float | None = None
    cold_headroom: float = 0.0
