"""What a host core is told of itself when it starts."""

from dataclasses import dataclass, field

from figcrank.state import Group, Host


@dataclass(frozen=True, slots=True)
class Timings:
    """Intervals and limits of the control protocols.

    :param tick_ms: interval at which the driver sends :class:`Tick`.
    :param probe_interval_ms: time between two membership probes of a host.
    :param probe_timeout_ms: time after which a direct probe counts as failed.
    :param suspicion_ms: time that a suspected host has to refute.
    :param status_interval_ms: time between two status queries to each server of an owned group.
    :param primary_timeout_ms: silence after which a primary counts as failed.
    :param stall_timeout_ms: time without majority progress after which a primary counts as cut off.
    :param server_timeout_ms: deadline of a control request to a server.
    :param platform_timeout_ms: deadline of a platform call.
    :param config_freshness_ms: age of the last confirmation from the store, over any path, beyond
        which requests with a key are refused while peers still reach the store.
    :param slice_lease_ms: lifetime of lent tokens.
    :param report_interval_ms: time between two demand reports.
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
    :param seeds: hosts to contact first; this host may be among them.
    :param groups: database groups.
    :param owners_per_group: owner hosts of each group.
    :param timings: intervals and limits.
    """

    fleet: str
    host: Host
    seeds: tuple[Host, ...]
    groups: tuple[Group, ...]
    owners_per_group: int = 2
    timings: Timings = field(default_factory=Timings)
