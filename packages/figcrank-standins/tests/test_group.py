import subprocess
import sys

import msgspec
import pytest

from figcrank.protocol import Fence, Follow, Promote, QueryStatus
from figcrank.standins import ServerModel
from figcrank.standins._replication import FetchRequest, RemoteSource
from figcrank.standins.group import PeerArgument, PeerArgumentError, Ready
from figcrank.standins.group_server import GroupServer
from figcrank.state import ORIGIN, Position, ServerRole

EXIT_TIMEOUT_S = 20


def start_process(*arguments):
    command = [sys.executable, "-W", "ignore", "-m", "figcrank.standins.group", *arguments]
    return subprocess.Popen(command, stdout=subprocess.PIPE)


def test_peer_is_a_name_and_an_address():
    assert PeerArgument.from_text("b=10.0.0.2:5432") == PeerArgument("b", "10.0.0.2:5432")


@pytest.mark.parametrize("text", ["b", "b=", "=10.0.0.2:1", "b=10.0.0.2", "b=10.0.0.2:x"])
def test_other_forms_of_a_peer_are_refused(text):
    with pytest.raises(PeerArgumentError):
        PeerArgument.from_text(text)


def test_process_serves_its_entries():
    process = start_process("--server", "a", "--primary", "a", "--connect-ms", "0")
    try:
        ready = msgspec.json.decode(process.stdout.readline(), type=Ready)
        assert ready.server == "a"
        batch = RemoteSource(ready.address).fetch(FetchRequest(1, ORIGIN, 0))
        assert [entry.position for entry in batch.entries] == [Position(1, 1)]
    finally:
        process.terminate()
        process.wait(EXIT_TIMEOUT_S)
        process.stdout.close()


def test_replica_fetches_over_tcp():
    primary, replica = (GroupServer(ServerModel(name, ("a", "b"))) for name in ("a", "b"))
    primary.model.request(Fence(1, "host-1"))
    primary.model.request(Promote(1, "host-1"))
    replica.model.request(Follow(1, "a"))
    primary.listen()
    replica.listen()
    primary.start({"b": RemoteSource(replica.address)})
    replica.start({"a": RemoteSource(primary.address)})
    try:
        request = QueryStatus(Position(1, 1), wait_ms=5_000)
        status = replica.control(request).status
        assert (status.role, status.durable) == (ServerRole.REPLICA, Position(1, 1))
    finally:
        primary.stop()
        replica.stop()


def test_source_out_of_reach_gives_nothing():
    server = GroupServer(ServerModel("a", ("a",)))
    address = server.listen()
    server.start({})
    server.stop()
    assert RemoteSource(address).fetch(FetchRequest(1, ORIGIN, 0)) is None
