"""The ``queues`` command before listeners that answer as hosts do."""

import json

import eventlet
import pytest

from figcrank.cli import _ctl_queues
from figcrank.cli.figcrankctl import main
from figcrank.protocol.queues import (
    GroupQueues,
    RefusalCount,
    ServerQueue,
    WaitingWork,
    encode_queues,
)
from figcrank.transport.streams._http import serve_http

ROW = WaitingWork("own read", "w", 2, 60.0, 400)


def page(host, is_owner=True, **fields):
    values = {
        "awaiting_primary": 1,
        "servers": (ServerQueue("s1", is_owner, 3, 4, 2, 60.0, 50.5, 900.0),),
        "waiting": (ROW, WaitingWork("own write", host, 1, 6.0, 10)),
        "waiting_unlisted": 5,
        "refusals": (RefusalCount("deadline", "w", 7), RefusalCount("over_limit", "w", 1)),
        "refusals_unlisted": 0,
        "refusals_window_ms": 10_000,
    }
    return GroupQueues(host, "crews", is_owner, **{**values, **fields})


@pytest.fixture
def serve():
    """Return a function that starts a listener with some handlers and returns its address."""
    listeners, greenlets = [], []

    def start(handler, path="/queues"):
        listener = eventlet.listen(("127.0.0.1", 0))
        listeners.append(listener)

        def run():
            while True:
                sock, _ = listener.accept()
                greenlets.append(eventlet.spawn(serve_http, sock, {path: handler}))

        greenlets.append(eventlet.spawn(run))
        return f"127.0.0.1:{listener.getsockname()[1]}"

    yield start
    for greenlet in greenlets:
        greenlet.kill()
    for listener in listeners:
        listener.close()


def answer(body, asked=None):
    def handle(query):
        if asked is not None:
            asked.append(query)
        return 200, body

    return handle


def test_answers_of_hosts_are_summed(serve, capsys):
    asked = []
    one = serve(answer(encode_queues(page("a")), asked))
    other = serve(answer(encode_queues(page("b", is_owner=False)), asked))
    assert main(["queues", "crews", one, other, one, "--json"]) == 0
    view = json.loads(capsys.readouterr().out)
    assert asked == [{"group": "crews"}] * 2  # a host that is named twice counts once
    assert [host["host"] for host in view["hosts"]] == ["a", "b"]
    assert view["awaiting_primary"] == 2
    assert view["servers"] == [
        {
            "server": "s1",
            "is_primary": True,
            "in_flight": 6,
            "max_in_flight": 8,
            "waiting": 4,
            "work_ms": 120.0,
            "statements_per_s": 101.0,
            "service_ms_per_s": 1_800.0,
        }
    ]
    waiting = [(row["kind"], row["workspace"], row["count"]) for row in view["waiting"]]
    assert waiting == [("own read", "w", 4), ("own write", "a", 1), ("own write", "b", 1)]
    assert view["waiting_unlisted"] == 10
    refusals = [(row["reason"], row["count"]) for row in view["refusals"]]
    assert refusals == [("deadline", 14), ("over_limit", 2)]


def test_tables_name_what_waits_and_who_is_refused(serve, capsys):
    assert main(["queues", "crews", serve(answer(encode_queues(page("a"))))]) == 0
    text = capsys.readouterr().out
    for part in ("1 of 1 hosts answered, 1 owners", "s1", "own read", "deadline", "last 10 s"):
        assert part in text
    assert "statements that wait and are not listed: 5" in text


def silent(serve):
    listener = eventlet.listen(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()
    return address


def hanging(serve):
    return serve(lambda _query: eventlet.sleep(60))


def without_page(serve):
    return serve(answer(b"ready"), "/readiness")


def unreadable(serve):
    return serve(answer(b"{}"))


@pytest.mark.parametrize("make_bad", [silent, hanging, without_page, unreadable])
def test_host_without_an_answer_is_named_and_changes_the_exit_status(
    serve, capsys, monkeypatch, make_bad
):
    """Guards against sums that lack a host without a word."""
    monkeypatch.setattr(_ctl_queues, "READ_TIMEOUT_MS", 300)
    bad, good = make_bad(serve), serve(answer(encode_queues(page("a"))))
    assert main(["queues", "crews", bad, good]) == 3
    captured = capsys.readouterr()
    assert "1 of 2 hosts answered" in captured.out
    assert f"1 of 2 hosts did not answer: {bad}" in captured.err


def test_no_result_is_shown_if_no_host_answers(serve, capsys):
    assert main(["queues", "crews", silent(serve)]) == 3
    assert capsys.readouterr().out == ""


def test_group_name_with_any_characters_arrives_whole(serve):
    asked = []
    address = serve(answer(encode_queues(page("a")), asked))
    assert main(["queues", "a&b=c d", address]) == 0
    assert asked == [{"group": "a&b=c d"}]


def test_address_that_is_none_is_a_usage_error(capsys):
    with pytest.raises(SystemExit) as ended:
        main(["queues", "crews", "host-1"])
    assert ended.value.code == 2
    assert "expected IP:PORT" in capsys.readouterr().err
