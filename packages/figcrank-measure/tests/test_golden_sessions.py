"""Whole sessions against the files in ``test_golden_sessions/``, as text for review."""

import msgspec
import pytest

from figcrank.measure._load import create_table
from figcrank.measure._scenario import Scenario
from figcrank.protocol import EditObject, SwitchPrimary
from figcrank.standins.samples import herdtrace, patna
from figcrank.state import Profile, ProfileMode

SEED = 11
# Hand-overs and homes of limits are decided in every fleet; they would hide the session.
SHOWN_DECISIONS = ("drain", "edit", "fence", "promotion", "refusal", "settlement", "switch")
INSERT = "INSERT INTO change (id, note) VALUES ({0}, 'n{0}')"
COUNT = "SELECT count(*) FROM change"


class Session:
    """A caller's requests, one line each, then the decisions and spans behind them."""

    def __init__(self, size):
        self.scenario = Scenario.from_size(size, SEED, group_count=1)
        create_table(self.scenario)
        self.fleet = self.scenario.fleet
        self.group = self.fleet.groups[self.scenario.service]
        self.token = None
        self.lines = []
        self._start_ms = self.fleet.loop.now_ms
        for host in self.fleet.hosts.values():
            host.decisions.clear()
            host.spans.clear()

    def note(self, text):
        self.lines.append(f"{self.fleet.loop.now_ms - self._start_ms:>6} ms  {text}")

    def finish(self, label, call):
        self.scenario.finish(call)
        self.token = call.session or self.token
        self.note(f"{label}: {described(call)}")
        return call

    def write(self, sql, host=1, **options):
        call = self.scenario.write(sql, host=host, session=self.token, **options)
        return self.finish(f"host-{host} write {sql!r}", call)

    def read(self, sql=COUNT, host=1, profile="relaxed", **options):
        call = self.scenario.read(sql, host=host, profile=profile, session=self.token, **options)
        return self.finish(f"host-{host} {profile} {sql!r}", call)

    def step(self, action, *sql, host=1, transaction="", workspace=1):
        service = "" if transaction else self.scenario.service
        call = self.fleet.transaction(
            f"host-{host}",
            self.scenario.key(workspace),
            action,
            *sql,
            service=service,
            transaction=transaction,
            session=self.token,
        )
        return self.finish(f"host-{host} {action} {' '.join(sql)}".rstrip(), call)

    def operator(self, request, host=2):
        call = self.scenario.finish(self.fleet.operator(f"host-{host}", request))
        self.note(f"host-{host} operator {type(request).__name__}: {replied(call.reply)}")

    def version(self, name):
        objects = self.fleet.hosts["host-2"].core.configuration.snapshot.since(0)
        return next(entry.version for entry in objects if entry.object_id.name == name)

    def wait(self, span_ms, why):
        self.note(why)
        self.fleet.run_for(span_ms)

    def text(self):
        decisions = [
            f"{d.at_ms - self._start_ms:>6} ms  {host} {d.kind} {d.subject}: {d.reason}"
            for host, entry in self.fleet.hosts.items()
            for d in entry.decisions
            if d.kind in SHOWN_DECISIONS
        ]
        spans = [
            f"{s.started_ms - self._start_ms:>6} to {s.ended_ms - self._start_ms} ms  {host} "
            f"{s.name} {' '.join(f'{name}={value}' for name, value in s.attributes)}"
            for host, entry in self.fleet.hosts.items()
            for s in entry.spans
        ]
        parts = ["Requests", *self.lines, "", "Decisions", *sorted(decisions)]
        return "\n".join([*parts, "", "Spans", *sorted(spans), ""])


def described(call):
    if call.failure is not None:
        return f"{call.failure.kind}, {call.failure.outcome}: {call.failure.message}"
    rows = [list(row) for result in call.answer.results for row in result.rows]
    replayed = ", replayed" if call.answer.replayed else ""
    position = f"{call.answer.position.term}:{call.answer.position.offset}"
    return f"{rows} from {call.answer.served_by} at {position}{replayed}"


def replied(reply):
    return msgspec.json.encode(reply).decode()


def dispatcher_swaps_a_crew(session):
    session.write(INSERT.format(1))
    session.read()
    session.read(profile="fresh")


def phone_roams_over_three_hosts(session):
    session.write(INSERT.format(1), host=1)
    for host in (4, 7, 9):
        session.read(host=host)


def swap_during_failover(session):
    session.write(INSERT.format(1))
    session.group.kill(session.group.primary.server.name)
    session.note("the primary dies")
    session.write(INSERT.format(2), host=3)
    session.read(host=5, profile="fresh")


def primary_cut_off_from_its_replicas(session):
    primary = session.group.primary.server.name
    others = [name for name in session.group.servers if name != primary]
    session.fleet.network.cut(primary, *others)
    session.note("the primary is cut off from its replicas")
    session.write(INSERT.format(1))
    session.fleet.network.heal(primary)
    session.wait(1_000, "the cut heals")
    session.read(profile="fresh")


def request_repeated_with_its_idempotency_key(session):
    for host in (1, 6):
        session.write(INSERT.format(1), host=host, idempotency_key="movement-77")
    session.read(profile="fresh")


def transaction_commits(session):
    transaction = session.step("begin").answer.transaction
    session.step("statements", INSERT.format(1), host=2, transaction=transaction)
    session.read(profile="fresh")
    session.step("commit", host=3, transaction=transaction)
    session.read(host=4)


def owner_dies_within_a_transaction(session):
    transaction = session.step("begin").answer.transaction
    owner = transaction.split("~")[0]
    session.step("statements", INSERT.format(1), transaction=transaction)
    session.fleet.kill(owner)
    session.wait(2_500, "the owner host dies")
    host = next(number for number in (1, 2) if f"host-{number}" != owner)
    session.step("commit", host=host, transaction=transaction)
    session.read(host=host, profile="fresh")


def key_withdrawn_within_a_transaction(session):
    transaction = session.step("begin").answer.transaction
    session.step("statements", INSERT.format(1), transaction=transaction)
    key = session.fleet.hosts["host-2"].core.configuration.snapshot.find("key", "k1")
    withdrawn = msgspec.structs.replace(key, withdrawn=True)
    session.operator(EditObject("key", "k1", session.version("k1"), withdrawn, "asen"))
    session.wait(500, "half a second passes")
    session.step("commit", transaction=transaction)
    session.token = None
    session.read(profile="fresh", workspace=2)


def two_operators_edit_one_profile(session):
    version = session.version("relaxed")
    for operator, max_staleness_ms in (("asen", 3_000), ("boyana", 9_000)):
        profile = Profile("relaxed", ProfileMode.BOUNDED, max_staleness_ms)
        session.operator(EditObject("profile", "relaxed", version, profile, operator))


def platform_outage(session):
    session.fleet.platform.down = True
    session.wait(5_000, "the platform is down for five seconds")
    session.write(INSERT.format(1))
    session.read(host=6)
    profile = Profile("relaxed", ProfileMode.BOUNDED, 3_000)
    session.operator(EditObject("profile", "relaxed", session.version("relaxed"), profile, "asen"))


def names_and_profiles_that_do_not_fit(session):
    session.read("DELETE FROM change")
    session.read("SELECT nothing FROM nowhere")
    session.read(profile="none such")
    session.write("SELECT 1; DELETE FROM change")


def planned_switch_of_the_primary(session):
    session.write(INSERT.format(1))
    owner = session.fleet.hosts["host-1"].core.placement.owners(session.scenario.service)[0]
    request = SwitchPrimary(session.scenario.service)
    session.operator(request, host=int(owner.name.removeprefix("host-")))
    session.write(INSERT.format(2), host=3)
    session.read(host=6)


def market_day_at_eight_times_the_rate(session):
    workspace = session.scenario.size.workspaces[4]
    calls = []
    for number in range(workspace.rate_per_s * 8):
        calls.append(session.scenario.read(COUNT, host=number % 8 + 1, workspace=5))
        session.fleet.run_for(1_000 // (workspace.rate_per_s * 8) or 1)
    session.read(workspace=6)
    session.fleet.run_for(1_000)
    answered = sum(call.answer is not None for call in calls)
    session.note(f"{workspace.name} asked {len(calls)} times and was answered {answered} times")
    for host in session.fleet.hosts.values():
        host.spans.clear()
        host.decisions.clear()


SESSIONS = (
    (patna, dispatcher_swaps_a_crew),
    (patna, phone_roams_over_three_hosts),
    (patna, swap_during_failover),
    (patna, primary_cut_off_from_its_replicas),
    (herdtrace, request_repeated_with_its_idempotency_key),
    (patna, transaction_commits),
    (patna, owner_dies_within_a_transaction),
    (herdtrace, key_withdrawn_within_a_transaction),
    (patna, two_operators_edit_one_profile),
    (herdtrace, platform_outage),
    (patna, names_and_profiles_that_do_not_fit),
    (patna, planned_switch_of_the_primary),
    (herdtrace, market_day_at_eight_times_the_rate),
)


@pytest.mark.parametrize(("size", "run"), SESSIONS, ids=[run.__name__ for _, run in SESSIONS])
def test_session_matches_its_golden_file(size, run, file_regression):
    session = Session(size())
    run(session)
    file_regression.check(session.text())
