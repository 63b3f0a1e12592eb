"""The ``queues`` command: what waits in a database group, and who is refused and why."""

import argparse
from collections.abc import Iterable
from urllib.parse import quote

import msgspec
from rich.table import Table

from figcrank.cli._ctl_errors import IncompleteError
from figcrank.cli._ctl_output import Output
from figcrank.cli._ctl_tables import new_table
from figcrank.protocol.queues import (
    GroupQueues,
    RefusalCount,
    ServerQueue,
    WaitingWork,
)
from figcrank.transport import HttpCallError, HttpClient

QUEUES_PATH = "/queues"
READ_TIMEOUT_MS = 3_000  # a host answers from memory; a suspended one must not hold up the others
HTTP_OK = 200
MS_PER_S = 1_000


class QueueHost(msgspec.Struct, frozen=True):
    """A host that was asked.

    :param address: ``ip:port`` of its metrics.
    :param host: its name, empty without an answer.
    :param is_owner: whether it has queues at all.
    :param problem: why there is no answer, empty if there is one.
    """

    address: str
    host: str = ""
    is_owner: bool = False
    problem: str = ""


class QueuesView(msgspec.Struct, frozen=True):
    """The queues of a group, summed over the hosts that answered.

    The unlisted numbers count what the hosts' pages left out.
    """

    group: str
    hosts: tuple[QueueHost, ...]
    awaiting_primary: int
    servers: tuple[ServerQueue, ...]
    waiting: tuple[WaitingWork, ...]
    waiting_unlisted: int
    refusals: tuple[RefusalCount, ...]
    refusals_unlisted: int
    refusals_window_ms: int

    @classmethod
    def from_pages(
        cls, group: str, hosts: tuple[QueueHost, ...], pages: list[GroupQueues]
    ) -> "QueuesView":
        """Sum the pages of the hosts that answered."""
        return cls(
            group,
            hosts,
            sum(page.awaiting_primary for page in pages),
            _sum_servers(pages),
            _sum_waiting(pages),
            sum(page.waiting_unlisted for page in pages),
            _sum_refusals(pages),
            sum(page.refusals_unlisted for page in pages),
            max((page.refusals_window_ms for page in pages), default=0),
        )


def show_queues(options: argparse.Namespace, output: Output) -> None:
    """Show the queues of a group, summed over hosts.

    :raises IncompleteError: if a host did not answer; the others' answers are shown before.
    """
    http = HttpClient()
    hosts = []
    pages = []
    for address in dict.fromkeys(options.addresses):  # a host named twice counts once
        host, page = _read(http, address, options.group)
        hosts.append(host)
        if page is None:
            output.note(f"{address}: {host.problem}")
        else:
            pages.append(page)
    view = QueuesView.from_pages(options.group, tuple(hosts), pages)
    if pages:
        output.show(view, *_renderables(view))
    silent = tuple(host.address for host in hosts if host.problem)
    if silent:
        raise IncompleteError(silent, len(hosts))


def _read(http: HttpClient, address: str, group: str) -> tuple[QueueHost, GroupQueues | None]:
    path = f"{QUEUES_PATH}?group={quote(group, safe='')}"
    try:
        reply = http.get(address, path, READ_TIMEOUT_MS)
    except HttpCallError as error:
        return QueueHost(address, problem=str(error)), None
    if reply.status != HTTP_OK:
        problem = f"it has no page {QUEUES_PATH}; check that this is its metrics address."
        return QueueHost(address, problem=problem), None
    try:
        # Fields of a later release are ignored.
        page = msgspec.json.decode(reply.body, type=GroupQueues)
    except ValueError:
        return QueueHost(address, problem="it sent a page that can't be read."), None
    return QueueHost(address, page.host, page.is_owner), page


def _sum_servers(pages: list[GroupQueues]) -> tuple[ServerQueue, ...]:
    totals: dict[str, ServerQueue] = {}
    for server in (server for page in pages for server in page.servers):
        total = totals.get(server.server)
        if total is not None:
            server = ServerQueue(
                server.server,
                total.is_primary or server.is_primary,
                total.in_flight + server.in_flight,
                total.max_in_flight + server.max_in_flight,
                total.waiting + server.waiting,
                total.work_ms + server.work_ms,
                total.statements_per_s + server.statements_per_s,
                total.service_ms_per_s + server.service_ms_per_s,
            )
        totals[server.server] = server
    return tuple(totals[name] for name in sorted(totals))


def _sum_waiting(pages: list[GroupQueues]) -> tuple[WaitingWork, ...]:
    totals: dict[tuple[str, str], WaitingWork] = {}
    for row in (row for page in pages for row in page.waiting):
        key = (row.kind, row.workspace)
        total = totals.get(key)
        if total is not None:
            row = WaitingWork(
                *key,
                total.count + row.count,
                total.work_ms + row.work_ms,
                max(total.oldest_ms, row.oldest_ms),
            )
        totals[key] = row
    return tuple(sorted(totals.values(), key=lambda r: (-r.work_ms, r.kind, r.workspace)))


def _sum_refusals(pages: list[GroupQueues]) -> tuple[RefusalCount, ...]:
    totals: dict[tuple[str, str], int] = {}
    for row in (row for page in pages for row in page.refusals):
        key = (row.reason, row.workspace)
        totals[key] = totals.get(key, 0) + row.count
    rows = (RefusalCount(*key, count) for key, count in totals.items())
    return tuple(sorted(rows, key=lambda r: (-r.count, r.reason, r.workspace)))


def _renderables(view: QueuesView) -> Iterable[Table | str]:
    answered = [host for host in view.hosts if not host.problem]
    owners = sum(1 for host in answered if host.is_owner)
    yield f"{view.group}: {len(answered)} of {len(view.hosts)} hosts answered, {owners} owners"
    yield f"waiting for a usable primary: {view.awaiting_primary}"
    yield _servers_table(view.servers)
    yield _waiting_table(view.waiting)
    if view.waiting_unlisted:
        yield f"statements that wait and are not listed: {view.waiting_unlisted}"
    yield _refusals_table(view.refusals, view.refusals_window_ms)
    if view.refusals_unlisted:
        yield f"refusals that are not listed: {view.refusals_unlisted}"


def _servers_table(rows: Iterable[ServerQueue]) -> Table:
    numbers = ("in flight", "limit", "waiting", "work ms", "ended/s", "ms/s")
    table = new_table("Servers", "server", "role", *numbers, numbers=numbers)
    for row in rows:
        table.add_row(
            row.server,
            "primary" if row.is_primary else "replica",
            str(row.in_flight),
            str(row.max_in_flight),
            str(row.waiting),
            f"{row.work_ms:.0f}",
            f"{row.statements_per_s:.1f}",
            f"{row.service_ms_per_s:.0f}",
        )
    return table


def _waiting_table(rows: Iterable[WaitingWork]) -> Table:
    numbers = ("count", "work ms", "oldest ms")
    table = new_table("Waiting", "kind", "workspace", *numbers, numbers=numbers)
    for row in rows:
        cells = (str(row.count), f"{row.work_ms:.0f}", str(row.oldest_ms))
        table.add_row(row.kind, row.workspace, *cells)
    return table


def _refusals_table(rows: Iterable[RefusalCount], window_ms: int) -> Table:
    title = f"Refused in the last {window_ms // MS_PER_S} s"
    table = new_table(title, "reason", "workspace", "count", numbers=("count",))
    for row in rows:
        table.add_row(row.reason, row.workspace or "(others)", str(row.count))
    return table
