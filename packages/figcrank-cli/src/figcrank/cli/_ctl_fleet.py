"""Commands that look at the fleet or move its backend servers."""

import argparse

from rich.console import RenderableType

from figcrank.cli._ctl_client import HostReply, OperatorClient
from figcrank.cli._ctl_errors import UnreachableError
from figcrank.cli._ctl_output import Output
from figcrank.cli._ctl_tables import (
    asked_table,
    decisions_table,
    groups_table,
    hosts_table,
    limits_table,
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
    """Return the views of every host that answers; there may be none."""
    replies = client.poll(StatusQuery(), FleetStatus)
    statuses = [entry.reply for entry in replies if entry.reply is not None]
    return FleetView.from_statuses(tuple(_host_view(entry) for entry in replies), statuses)


def show_status(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Show hosts, groups, limits and disagreements."""
    view = _answered_view(client, output)
    tables = (
        asked_table(view),
        hosts_table(view.hosts),
        groups_table(view.groups),
        limits_table(view),
    )
    output.show(view, *tables, *view.disagreements)


def show_hosts(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Show what the asked hosts believe of every host."""
    view = _answered_view(client, output)
    output.show(view.hosts, hosts_table(view.hosts))


def show_groups(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Show groups and backend servers."""
    view = _answered_view(client, output)
    tables = (groups_table(view.groups), servers_table(view.groups))
    output.show(view.groups, *tables, *view.disagreements)


def drain_server(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Take a backend server out of use."""
    reply = client.order(DrainServer(options.group, options.server, True), Accepted)
    output.show(reply, reply.message)


def restore_server(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Take a backend server back into use at every asked host.

    Each host keeps the drains that it was asked for, and which one took the drain isn't known.
    """
    request = DrainServer(options.group, options.server, False)
    accepted = None
    problems = []
    for url in client.urls:
        try:
            accepted = client.narrowed(url).order(request, Accepted)
        except UnreachableError as error:
            problems.append(str(error))
            output.note(f"{url}: not restored there; it could not be reached")
    if accepted is None:
        raise UnreachableError(tuple(problems))
    output.show(accepted, accepted.message)


def switch_primary(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Move a group's primary to another server, by an order to an owner host."""
    request = SwitchPrimary(options.group, options.to or "")
    reply = _owner_client(client, options.group).order(request, Accepted)
    output.show(reply, reply.message)


def explain(options: argparse.Namespace, client: OperatorClient, output: Output) -> None:
    """Show decisions and their reasons, by host."""
    replies = client.ask_all(Explain(options.subject), DecisionList)
    _note_silent(replies, output)
    answered = [entry for entry in replies if entry.reply is not None]
    output.show(replies, *(_decisions(entry) for entry in answered))


def _answered_view(client: OperatorClient, output: Output) -> FleetView:
    view = fleet_view(client)
    problems = tuple(asked.problem for asked in view.asked if asked.problem)
    if len(problems) == len(view.asked):
        # A single question raises the error that fits, be it a refusal or silence.
        client.ask(StatusQuery(), FleetStatus)
        raise UnreachableError(problems)
    for asked in view.asked:
        if asked.problem:
            output.note(f"{asked.url}: {asked.problem}")
    return view


def _owner_client(client: OperatorClient, group: str) -> OperatorClient:
    """Return a client of the group's first owner that was named, or ``client`` without one."""
    view = fleet_view(client)
    urls = {asked.host: asked.url for asked in view.asked if asked.host}
    owners = [owner for row in view.groups if row.name == group for owner in row.newest.owners]
    named = [urls[owner] for owner in owners if owner in urls]
    return client.narrowed(named[0]) if named else client


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


def _decisions(entry: HostReply) -> RenderableType:
    if entry.reply.decisions:
        return decisions_table(entry.url, entry.reply)
    return f"{entry.url}: no decision kept"


def _note_silent(replies: tuple[HostReply, ...], output: Output) -> None:
    for entry in replies:
        if entry.problem:
            output.note(f"{entry.url}: {entry.problem}")
