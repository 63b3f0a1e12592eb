import pytest

from figcrank.standins._virtual_loop import VirtualLoop, VirtualNetwork


@pytest.mark.parametrize("interval_ms", [0.25, 1.75, 3.0])
def test_intervals_below_a_millisecond_add_up(interval_ms):
    loop = VirtualLoop()
    runs = []

    def again():
        runs.append(loop.now_ms)
        loop.after(interval_ms, again)

    loop.after(0, again)
    loop.run_until(999)
    assert len(runs) == int(999 / interval_ms) + 1


def test_events_run_in_the_order_of_their_times():
    loop = VirtualLoop()
    order = []
    for delay_ms in (5, 1, 3):
        loop.after(delay_ms, lambda delay_ms=delay_ms: order.append(delay_ms))
    loop.run_for(10)
    assert order == [1, 3, 5]


def test_cut_drops_what_is_under_way():
    loop = VirtualLoop()
    network = VirtualNetwork(loop)
    arrived = []
    assert network.send("a", "b", lambda: arrived.append(1))
    network.cut("a", "b")
    loop.run_for(10)
    assert not arrived


def test_healed_cut_lets_messages_pass():
    loop = VirtualLoop()
    network = VirtualNetwork(loop)
    network.cut("a", "b")
    assert not network.send("a", "b", lambda: None)
    network.heal("a")
    assert network.send("a", "b", lambda: None)
