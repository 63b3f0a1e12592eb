"""Steady loads of writes and reads, and what came of each request."""

from dataclasses import dataclass, field

from figcrank.measure._scenario import Scenario
from figcrank.protocol import Outcome
from figcrank.standins.virtual import Call

CREATE_TABLE = "CREATE TABLE change (id INTEGER PRIMARY KEY, note TEXT)"
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
    :param hosts: hosts that requests are sent to.
    """

    scenario: Scenario
    interval_ms: int = 10
    workspace: int = 1
    calls: dict[int, Call] = field(default_factory=dict)
    hosts: list[int] = field(default_factory=lambda: list(range(1, 10)))
    sent_to: dict[int, int] = field(default_factory=dict)
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

    def _send(self) -> None:
        if not self.running:
            return
        number = len(self.calls) + 1
        live = [h for h in self.hosts if self.scenario.fleet.hosts[f"host-{h}"].alive]
        host = live[number % len(live)]
        self.sent_to[number] = host
        self.calls[number] = self.scenario.write(
            f"INSERT INTO change (id, note) VALUES ({number}, 'n{number}')",
            host=host,
            workspace=self.workspace,
            timeout_ms=LOAD_TIMEOUT_MS,
        )
        self.scenario.fleet.loop.after(self.interval_ms, self._send)


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
