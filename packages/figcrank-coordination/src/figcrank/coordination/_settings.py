"""Static settings of a host core."""

from dataclasses import dataclass, field

from figcrank.state import Group, Host


@dataclass(frozen=True, slots=True)
class Timings:
    """Intervals and timeouts of the control protocols.

    :param tick_ms: interval at which the driver sends :class:`Tick`.
    :param probe_interval_ms: time between two membership probes that a host sends.
    :param probe_timeout_ms: time after which a direct probe counts as failed.
    :param suspicion_ms: time within which a suspected host must refute the suspicion.
    :param status_interval_ms: time between two status queries to each server of an owned group.
    :param primary_timeout_ms: time without an answer after which a primary counts as failed.
    :param stall_timeout_ms: time without a write becoming durable on a majority of servers, while
        writes are pending, after which a primary counts as partitioned.
    :param server_timeout_ms: deadline of a control request to a server.
    :param platform_timeout_ms: deadline of a platform call.
    :param config_freshness_ms: maximum age of the latest confirmation from the store, received
        directly or through peers; if it is exceeded while peers can still reach the store, requests
        with a key are refused.
    :param slice_lease_ms: lease time of rate-limit tokens that a home host lends.
    :param report_interval_ms: time between two reports of demand for rate-limit tokens.
    :param transaction_idle_ms: idle time after which a transaction is rolled back.
    """

    tick_ms: int = 20
    probe_interval_ms: int = 200
    probe_timeout_ms: int = 80
    suspicion_ms: int = 600
    status_interval_ms: int = 100
    primary_timeout_ms: int = 400
    stall_timeout_ms: int = 400
    server_timeout_ms: int = 200
    platform_timeout_ms: int = 1_000
    config_freshness_ms: int = 1_500
    slice_lease_ms: int = 300
    report_interval_ms: int = 50
    transaction_idle_ms: int = 10_000


@dataclass(frozen=True, slots=True)
class CoreSettings:
    """Static settings of a host core.

    :param fleet: name of the fleet.
    :param host: this host.
    :param seeds: hosts to contact at start; may include this host.
    :param groups: database groups.
    :param owners_per_group: number of owner hosts of each group.
    :param timings: intervals and timeouts of the control protocols.
    """

    fleet: str
    host: Host
    seeds: tuple[Host, ...]
    groups: tuple[Group, ...]
    owners_per_group: int = 2
    timings: Timings = field(default_factory=Timings)
