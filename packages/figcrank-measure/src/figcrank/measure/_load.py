"""Steady loads of writes and reads, and what came of each request."""

from dataclasses import dataclass, field

from figcrank.measure._scenario import Scenario
from figcrank.protocol import Outcome
from figcrank.standins.virtual import Call

# Without a unique key, a change that ran twice shows.
CREATE_TABLE = "CREATE TABLE change (id INTEGER, note TEXT)"
LOAD_TIMEOUT_MS = 3_000


def create_table(scenario: Scenario) -> Call:
    """Create the table that loads write to.

    :raises AssertionError: if the fleet refuses.
    """
    call = scenario.finish(scenario.write(CREATE_TABLE))
    assert call.answer is not None, call.failure
    return call


@dataclass(slots=True)
class WriteLoad:
    """Inserts one numbered row at a steady interval, from host to host.

    :param scenario: the fleet under load.
    :param interval_ms: time between two requests.
    :param calls: request by row number.
    :param hosts: hosts that requests are sent to while they are ready.
    :param timeout_ms: time that each request is given.
    """

    scenario: Scenario
    interval_ms: int = 10
    workspace: int = 1
    timeout_ms: int = LOAD_TIMEOUT_MS
    calls: dict[int, Call] = field(default_factory=dict)
    hosts: list[int] = field(default_factory=lambda: list(range(1, 10)))
    running: bool = False

    def start(self) -> None:
        """Begin sending."""
        self.running = True
        self._send()

    def stop(self) -> None:
        """Send nothing more."""
        self.running = False

    @property
    def acknowledged(self) -> set[int]:
        """Return the numbers of the rows whose insertion was acknowledged."""
        return {number for number, call in self.calls.items() if call.answer is not None}

    @property
    def not_run(self) -> set[int]:
        """Return the numbers of the rows that were said not to have been inserted."""
        return {
            number
            for number, call in self.calls.items()
            if call.failure is not None and call.failure.outcome is Outcome.NOT_RUN
        }

    def longest_gap_ms(self) -> int:
        """Return the longest time between two acknowledgements in a row."""
        times = sorted(c.answered_ms for c in self.calls.values() if c.answer is not None)
        gaps = (later - earlier for earlier, later in zip(times, times[1:], strict=False))
        return max(gaps, default=0)

    def final_ids(self) -> list[int]:
        """Return the numbers of the rows that a fresh read finds, in order."""
        read = self.scenario.read(
            "SELECT id FROM change ORDER BY id", profile="fresh", workspace=2, host=self.hosts[0]
        )
        return [row[0] for row in self.scenario.finish(read).rows]

    def send_to(self, host: int) -> None:
        """Insert one row through a host."""
        number = len(self.calls) + 1
        self.calls[number] = self.scenario.write(
            f"INSERT INTO change (id, note) VALUES ({number}, 'n{number}')",
            host=host,
            workspace=self.workspace,
            timeout_ms=self.timeout_ms,
        )

    def _send(self) -> None:
        if not self.running:
            return
        ready = [host for host in self.hosts if self._is_ready(host)]
        self.send_to(ready[len(self.calls) % len(ready)])
        self.scenario.fleet.loop.after(self.interval_ms, self._send)

    def _is_ready(self, number: int) -> bool:
        entry = self.scenario.fleet.hosts[self.scenario.host_name(number)]
        return entry.alive and entry.ready


@dataclass(slots=True)
class ReadLoad:
    """Reads the table at a steady interval, from host to host.

    :param scenario: the fleet under load.
    :param profile: profile of the reads.
    :param interval_ms: time between two requests.
    """

    scenario: Scenario
    profile: str = "relaxed"
    interval_ms: int = 10
    calls: list[Call] = field(default_factory=list)
    running: bool = False

    def start(self) -> None:
        """Begin sending."""
        self.running = True
        self._send()

    def stop(self) -> None:
        """Send nothing more."""
        self.running = False

    def served_since(self, start_ms: int) -> list[str]:
        """Return the backend servers of the answers to requests sent after ``start_ms``."""
        later = (call for call in self.calls if call.sent_ms >= start_ms)
        return [call.answer.served_by for call in later if call.answer is not None]

    def _send(self) -> None:
        if not self.running:
            return
        host = len(self.calls) % self.scenario.size.hosts + 1
        call = self.scenario.read(
            "SELECT count(*) FROM change", host=host, workspace=2, profile=self.profile
        )
        self.calls.append(call)
        self.scenario.fleet.loop.after(self.interval_ms, self._send)
