"""Commands that show the state of the fleet or change the state of backend servers."""

import argparse

from rich.console import RenderableType

from figcrank.cli._ctl_client import HostReply, OperatorClient
from figcrank.cli._ctl_errors import UnreachableError
from figcrank.cli._ctl_output import Output
from figcrank.cli._ctl_tables import (
    decisions_table,
    groups_table,
    hosts_table,
    limits_table,
    queried_hosts_table,
    servers_table,
)
from figcrank.cli._ctl_views import FleetView, HostView
from figcrank.protocol import (
    Accepted,
    DecisionList,
    DrainServer,
    Explain,
    FleetStatus,
    StatusQuery,
    SwitchPrimary,
)


def fleet_view(client: OperatorClient) -> FleetView:
    """Return the combined view of all hosts that respond, which may be none."""
    replies = client.collect_replies(StatusQuery(), FleetStatus)
    statuses = [entry.reply for entry in replies if entry.reply is not None]
    return FleetView.from_statuses(tuple(_host_view(entry) for entry in replies), statuses)


def show_status(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Show hosts, groups, limits and disagreements between hosts."""
    view = _require_view(client, output)
    tables = (
        queried_hosts_table(view),
        hosts_table(view.hosts),
        groups_table(view.groups),
        limits_table(view),
    )
    output.show(view, *tables, *view.disagreements)


def show_hosts(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Show the state of every host as reported by the queried hosts."""
    view = _require_view(client, output)
    output.show(view.hosts, hosts_table(view.hosts))


def show_groups(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Show database groups and their backend servers."""
    view = _require_view(client, output)
    tables = (groups_table(view.groups), servers_table(view.groups))
    output.show(view.groups, *tables, *view.disagreements)


def drain_server(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Drain a backend server."""
    reply = client.execute(DrainServer(options.group, options.server, True), Accepted)
    output.show(reply, reply.message)


def restore_server(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Return a drained backend server to service.

    Each host stores the drain requests that it received, and it is not recorded which host
    received this one. The request is therefore sent to every queried host.
    """
    request = DrainServer(options.group, options.server, False)
    accepted = None
    problems = []
    for url in client.urls:
        try:
            accepted = client.for_url(url).execute(request, Accepted)
        except UnreachableError as error:
            problems.append(str(error))
            output.note(f"{url}: server not restored, the host could not be reached")
    if accepted is None:
        raise UnreachableError(tuple(problems))
    output.show(accepted, accepted.message)


def switch_primary(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Switch a group's primary to another server, by a request to an owner of the group."""
    request = SwitchPrimary(options.group, options.to or "")
    reply = _owner_client(client, options.group).execute(request, Accepted)
    output.show(reply, reply.message)


def explain(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Show recorded decisions and their reasons, per host."""
    replies = client.query_all(Explain(options.subject), DecisionList)
    _note_unanswered(replies, output)
    responded = [entry for entry in replies if entry.reply is not None]
    output.show(replies, *(_render_decisions(entry) for entry in responded))


def _require_view(client: OperatorClient, output: Output) -> FleetView:
    view = fleet_view(client)
    problems = tuple(asked.problem for asked in view.asked if asked.problem)
    if len(problems) == len(view.asked):
        # A single query raises the matching error: rejected or unreachable.
        client.query(StatusQuery(), FleetStatus)
        raise UnreachableError(problems)
    for asked in view.asked:
        if asked.problem:
            output.note(f"{asked.url}: {asked.problem}")
    return view


def _owner_client(client: OperatorClient, group: str) -> OperatorClient:
    """Return a client for the first owner of the group among the queried hosts.

    Returns ``client`` if no owner is among them.
    """
    view = fleet_view(client)
    urls = {asked.host: asked.url for asked in view.asked if asked.host}
    owners = [owner for row in view.groups if row.name == group for owner in row.newest.owners]
    named = [urls[owner] for owner in owners if owner in urls]
    return client.for_url(named[0]) if named else client


def _host_view(entry: HostReply) -> HostView:
    if entry.reply is None:
        return HostView(entry.url, problem=entry.problem)
    status: FleetStatus = entry.reply
    return HostView(
        entry.url,
        status.host,
        status.ready,
        status.config_revision,
        status.platform_reachable,
    )


def _render_decisions(entry: HostReply) -> RenderableType:
    if entry.reply.decisions:
        return decisions_table(entry.url, entry.reply)
    return f"{entry.url}: no matching decision recorded"


def _note_unanswered(replies: tuple[HostReply, ...], output: Output) -> None:
    for entry in replies:
        if entry.problem:
            output.note(f"{entry.url}: {entry.problem}")
