import json

import eventlet
import pytest

from figcrank.coordination.fleet import FleetView
from figcrank.protocol.heartbeats import Heartbeat
from figcrank.state import ManualClock, revision_of
from figcrank.state._catalog import Catalog, Registry, ServerEntry
from figcrank.transport.streams._log import EventLog
from figcrank.transport.streams._peer_link import PeerLink

SERVER = {
    "server_id": "i-crews-1",
    "group": "crews",
    "address": "10.0.0.9:5432",
    "availability_zone": "zone-a",
    "slots": 5,
    "draining": True,
    "claims_primary": False,
    "born_ms": 1_700_000_000_000,
}


class FakeRouter:
    def tick(self):
        pass

    def notify_primary_change(self):
        pass


@pytest.fixture
def link():
    clock = ManualClock(10_000)
    view = FleetView("a", 1, ("127.0.0.1", 0))
    link = PeerLink(("127.0.0.1", 0), view, FakeRouter(), None, clock, EventLog("a", clock, len))
    yield link
    link._socket.close()


def test_view_page_keeps_the_field_names_that_other_releases_read(link):
    """Guards against a renamed field of a server entry, which peers of another release reject.

    Views are built from the entry's own field names, and a host reads them from peers while a
    fleet is being upgraded.
    """
    link._view.registry = Registry(7, {"i-crews-1": ServerEntry(**dict(SERVER))})
    status, body = link.view_page({})
    page = json.loads(body)
    assert status == 200
    assert page["servers"] == [SERVER]
    assert set(page) == {
        "catalog",
        "revision",
        "registry_age_ms",
        "servers",
        "hosts",
        "cold_remaining_ms",
        "evacuations",
    }


def test_view_of_another_release_is_applied(link):
    page = {
        "catalog": "",
        "revision": 7,
        "registry_age_ms": 100,
        "servers": [SERVER],
        "hosts": [["b", ["10.0.0.2", 7000]]],
    }
    link._apply_peer_view(page, 9_000)
    assert link._view.registry.servers["i-crews-1"] == ServerEntry(**dict(SERVER))
    assert link._view.peers.by_address(("10.0.0.2", 7000)).name == "b"


def test_view_tells_the_availability_zone_of_each_owner(link):
    link._view.peers.register("b", ("10.0.0.2", 7000), 0, "zone-b")
    page = json.loads(link.view_page({})[1])
    assert page["hosts"][1] == ["b", ["10.0.0.2", 7000], "zone-b"]
    page["hosts"][1] = ["c", ["10.0.0.3", 7000], "zone-c"]
    link._apply_peer_view(page, 9_000)
    assert link._view.peers.by_address(("10.0.0.3", 7000)).availability_zone == "zone-c"


def test_configuration_is_sent_compressed_to_peers_that_ask_for_it(link):
    """Guards against a configuration of megabytes that no peer received within its timeout.

    Seen in a sweep of 300 hosts: owners asked again and again, and a configuration came into force
    8.8 s late.
    """
    content = json.dumps({"routes": [{"name": f"route-{n}"} for n in range(20_000)]}).encode()
    link.catalog_content = content
    link._view.catalog = Catalog(7, {}, {}, {}, {}, 1_000)
    page = json.loads(link.view_page({"catalog": "6", "packed": "1"})[1])
    assert page["catalog"] == ""
    assert len(page["packed_catalog"]) < len(content) / 5
    assert json.loads(link.view_page({"catalog": "6"})[1])["catalog"] == content.decode()
    assert "packed_catalog" not in json.loads(link.view_page({"catalog": "7", "packed": "1"})[1])
    adopted = []
    link.adopt_catalog = lambda data, source: adopted.append(data)
    link._apply_peer_view(page, 9_000)
    assert adopted == [content]


@pytest.mark.parametrize(
    ("revision", "fetched"),
    [
        (revision_of(2, 3), True),
        (revision_of(1, 7), False),
        (revision_of(1, 8), True),
        (900, False),
    ],
)
def test_list_of_servers_is_fetched_if_its_era_or_else_its_number_is_newer(link, revision, fetched):
    link._view.registry = Registry(revision_of(1, 7), {})
    asked = []
    link._fetcher._fetch = asked.append
    heartbeat = Heartbeat("b", 2, 1, registry_revision=revision)
    link._fetcher.record_heartbeat(heartbeat, ("10.0.0.2", 7000), is_new=False)
    eventlet.sleep(0)
    assert bool(asked) is fetched


def test_list_of_a_new_era_passes_to_a_peer_through_the_view_page(link):
    """Guards against a server that registers after the store came back from an older copy."""
    link._view.registry = Registry(revision_of(1, 900), {})
    page = {"catalog": "", "registry_age_ms": 100, "servers": [SERVER], "hosts": []}
    link._apply_peer_view({**page, "revision": revision_of(2, 7)}, 9_000)
    assert set(link._view.registry.servers) == {"i-crews-1"}
    assert json.loads(link.view_page({})[1])["revision"] == revision_of(2, 7)
    link._apply_peer_view({**page, "revision": 901, "servers": []}, 9_500)
    assert set(link._view.registry.servers) == {"i-crews-1"}
