"""Commands that query several hosts, with a fake HTTP client in place of the hosts."""

import msgspec
import pytest

from figcrank.cli import _ctl_client, _ctl_edits
from figcrank.cli.figcrankctl import main
from figcrank.protocol import (
    Accepted,
    ConfigList,
    DrainServer,
    EditDone,
    EditObject,
    FleetStatus,
    GroupStatus,
    HostStatus,
    ListConfig,
    SwitchPrimary,
)
from figcrank.protocol.codecs import decode_operator_request, encode
from figcrank.state import (
    ORIGIN,
    ConfigObject,
    HostState,
    ObjectId,
    ServerRole,
    ServerStatus,
    Workspace,
)
from figcrank.transport import HttpCallError, HttpReply

KEY = "operator-key-of-a-test"
REVISION = 9
WORKSPACE = ConfigObject(ObjectId("workspace", "w"), 5, Workspace("w", 10, 20))


class FakeHttp:
    """Fake HTTP client for the hosts ``a`` and ``b`` on ports 1 and 2.

    :param views: status by address; an address without one refuses the connection.
    :param command_error: error raised for every command, ``None`` for no error.
    """

    def __init__(self, views, command_error=None):
        self.views = views
        self.command_error = command_error
        self.commands = []

    def post(self, address, path, body, headers, timeout_ms):
        request = decode_operator_request(body)
        if isinstance(request, EditObject | SwitchPrimary | DrainServer):
            self.commands.append((address, request))
            if self.command_error is not None:
                raise self.command_error
        view = self.views.get(address)
        if view is None:
            raise HttpCallError(address, False, "refused")
        if isinstance(request, ListConfig):
            return HttpReply(200, encode(ConfigList(5, (WORKSPACE,))))
        if isinstance(request, EditObject):
            stored = ConfigObject(WORKSPACE.object_id, REVISION, request.value)
            return HttpReply(200, encode(EditDone(stored)))
        if isinstance(request, SwitchPrimary | DrainServer):
            return HttpReply(200, encode(Accepted("done")))
        return HttpReply(200, encode(view))


def status(name, revisions, primary="g-1", term=1, states=None, owners=("a", "b")):
    states = states or {}
    hosts = tuple(
        HostStatus(host, "az-1", states.get(host, HostState.ALIVE), 0, revision)
        for host, revision in revisions.items()
    )
    groups = (GroupStatus("g", term, primary, owners, ()),)
    return FleetStatus(name, True, revisions[name], True, hosts, groups, ())


@pytest.fixture
def ctl(monkeypatch, capsys):
    """Return a function that runs a command against fake hosts.

    The function returns the exit code, standard output and standard error.
    """

    def run(http, *arguments):
        monkeypatch.setattr(_ctl_client, "HttpClient", lambda: http)
        urls = [f"--operator-url=http://{address}" for address in ("127.0.0.1:1", "127.0.0.1:2")]
        code = main([*arguments, *urls, "--operator-key", KEY])
        written = capsys.readouterr()
        return code, written.out, written.err

    return run


def fleet(first, second):
    return FakeHttp({"127.0.0.1:1": first, "127.0.0.1:2": second})


@pytest.mark.parametrize("command", ["status", "groups"])
@pytest.mark.parametrize(("primary", "term"), [("g-2", 1), ("g-1", 2), ("", 2)])
def test_disagreement_on_primary_or_term_is_shown(ctl, command, primary, term):
    revisions = {"a": 9, "b": 9}
    http = fleet(status("a", revisions), status("b", revisions, primary, term))
    code, out, _ = ctl(http, command)
    assert code == 0
    assert "DISAGREE" in out
    assert f"b: {primary or 'no primary'} at term {term}" in out


def test_view_of_a_host_that_is_not_an_owner_is_ignored(ctl):
    revisions = {"a": 9, "b": 9}
    first = status("a", revisions, primary="", term=0, owners=("b",))
    code, out, _ = ctl(fleet(first, status("b", revisions, owners=("b",))), "status")
    assert code == 0
    assert "DISAGREE" not in out
    assert "g-1" in out


def test_unresponsive_server_is_shown(ctl):
    report = ServerStatus("g-1", ServerRole.PRIMARY, 1, 1, ORIGIN, ORIGIN)
    first = status("a", {"a": 9})
    group = msgspec.structs.replace(first.groups[0], statuses=(report,), silent=("g-1",))
    _, out, _ = ctl(fleet(msgspec.structs.replace(first, groups=(group,)), None), "groups")
    assert "g-1 (silent)" in out
    assert len([line for line in out.splitlines() if line.rstrip().endswith("silent")]) == 1


def test_switch_is_sent_to_an_owner(ctl):
    revisions = {"a": 9, "b": 9}
    owners = ("c", "b")
    first = status("a", revisions, owners=owners)
    http = fleet(first, status("b", revisions, owners=owners))
    ctl(http, "switch", "g")
    assert [address for address, _ in http.commands] == ["127.0.0.1:2"]


def test_restore_is_sent_to_every_host(ctl):
    http = fleet(status("a", {"a": 9}), status("b", {"b": 9}))
    ctl(http, "server", "restore", "g", "g-1")
    assert [address for address, _ in http.commands] == ["127.0.0.1:1", "127.0.0.1:2"]


def test_agreement_is_not_reported_as_disagreement(ctl):
    revisions = {"a": 9, "b": 9}
    code, out, _ = ctl(fleet(status("a", revisions), status("b", revisions)), "status")
    assert code == 0
    assert "DISAGREE" not in out


@pytest.mark.parametrize(
    "second",
    [
        status("b", {"b": 9}),
        status("b", {"a": 9, "b": 9}, states={"a": HostState.SUSPECT}),
    ],
)
def test_disagreement_on_a_host_is_shown(ctl, second):
    code, out, _ = ctl(fleet(status("a", {"a": 9, "b": 9}), second), "hosts")
    assert code == 0
    assert "DISAGREE" in out


@pytest.mark.parametrize(
    ("first", "second", "code", "missing"),
    [
        (status("a", {"a": 9, "b": 9}), status("b", {"a": 5, "b": 9}), 0, ()),
        (status("a", {"a": 9, "b": 5}), status("b", {"a": 9, "b": 9}), 0, ()),
        (status("a", {"a": 9, "b": 9, "c": 8}), status("b", {"a": 9, "b": 9}), 4, ("c",)),
        (status("a", {"a": 9, "b": 9, "c": -1}), status("b", {"a": 9, "b": 9}), 4, ("c",)),
        (status("a", {"a": 9}), status("b", {"a": 9, "b": 5}), 4, ("b",)),
        (status("a", {"a": 9, "b": 9}), None, 4, ("http://127.0.0.1:2",)),
    ],
)
def test_wait_lists_hosts_without_the_revision(ctl, first, second, code, missing):
    arguments = ("workspace", "set", "w", "--burst", "1", "--wait", "0.05")
    done, _, err = ctl(fleet(first, second), *arguments)
    assert done == code, err
    lines = [line for line in err.splitlines() if "not yet in force" in line]
    assert lines == [f"figcrankctl: not yet in force at {name}" for name in missing]


def test_edit_is_based_on_the_current_version(ctl):
    http = fleet(status("a", {"a": 9}), None)
    ctl(http, "workspace", "set", "w", "--burst", "1")
    ((_, request),) = http.commands
    assert request.expected_version == WORKSPACE.version
    assert request.value == Workspace("w", 10, 1)


@pytest.mark.parametrize(
    ("sent", "code", "tried"),
    [(True, 3, ["127.0.0.1:1"]), (False, 3, ["127.0.0.1:1", "127.0.0.1:2"])],
)
def test_command_that_may_have_been_received_is_not_sent_again(ctl, sent, code, tried):
    http = fleet(status("a", {"a": 9}), status("b", {"b": 9}))
    http.command_error = HttpCallError("127.0.0.1:1", sent, "timeout")
    done, out, err = ctl(http, "workspace", "set", "w", "--burst", "1")
    assert (done, out) == (code, "")
    assert [address for address, _ in http.commands] == tried
    assert ("may have taken effect" in err) is sent


def test_key_secret_is_not_sent(ctl, monkeypatch):
    http = fleet(status("a", {"a": 9}), None)
    monkeypatch.setattr(_ctl_edits.secrets, "token_hex", lambda size: "5ec2e7" * size)
    _, out, _ = ctl(http, "key", "create", "w", "--key-id", "k", "--json")
    ((_, request),) = http.commands
    secret = msgspec.json.decode(out)["key"].rsplit("_", 1)[-1]
    assert request.value.matches(secret)
    assert request.value.digest not in out


@pytest.mark.parametrize("body", [b"", b"{}", b"[]", b'{"type":"Accepted","message":"x"}'])
def test_invalid_response_is_reported(ctl, body):
    class Foreign(FakeHttp):
        def post(self, *arguments):
            return HttpReply(200, body)

    code, out, err = ctl(Foreign({}), "config", "get")
    assert (code, out) == (1, "")
    assert "not an operator API reply" in err
