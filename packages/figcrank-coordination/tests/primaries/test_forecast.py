"""Statements wait for a primary only if its replacement can end before their deadlines."""

from figcrank.coordination.primaries import (
    LEASE_MS,
    MAJORITY_LEASE_MS,
    ReplacementForecast,
    ReplacementView,
)

HOSTS = 7
TIMEOUT_MS = 800
TICK_MS = 100


def running(quiesced, planned=False, version=3, began_ms=0):
    return ReplacementView(version, began_ms, planned, HOSTS, quiesced)


def forecast_at(now_ms, quiesced_at):
    """Return the forecast of a replacement that began at 0.

    :param quiesced_at: returns the number of quiesced hosts at a time.
    """
    forecast = ReplacementForecast()
    for tick_ms in range(0, now_ms + 1, TICK_MS):
        forecast.update(running(quiesced_at(tick_ms)), tick_ms)
    return forecast


def test_statements_that_would_wait_for_leases_are_refused_at_once():
    """Guards against callers that are held until their timeouts while a replacement takes 4 s."""
    held = refused = 0
    for arrived_ms in range(200, MAJORITY_LEASE_MS, 50):
        forecast = forecast_at(arrived_ms, lambda _now_ms: 1)
        if forecast.earliest_end_ms(arrived_ms) > arrived_ms + TIMEOUT_MS:
            refused += 1
        else:
            held += 1
    assert held == 0
    assert refused > 0


def test_statements_wait_for_a_replacement_that_ends_in_their_time():
    forecast = forecast_at(400, lambda now_ms: HOSTS if now_ms >= 300 else 1)
    assert forecast.earliest_end_ms(400) <= 400 + TIMEOUT_MS


def test_statements_wait_for_a_primary_whose_process_is_gone():
    forecast = ReplacementForecast()
    forecast.update(running(1, planned=True), 0)
    assert forecast.earliest_end_ms(0) <= TIMEOUT_MS


def test_last_statements_before_the_leases_end_wait():
    """Guards against refusing those that the new primary serves in time."""
    arrived_ms = LEASE_MS + 200
    forecast = forecast_at(arrived_ms, lambda _now_ms: 4)
    assert forecast.earliest_end_ms(arrived_ms) <= arrived_ms + TIMEOUT_MS


def test_nobody_is_refused_before_the_hosts_can_have_reported():
    forecast = forecast_at(0, lambda _now_ms: 1)
    assert forecast.earliest_end_ms(50) <= 50


def test_callers_are_told_the_end_and_come_back_one_after_the_other():
    forecast = forecast_at(200, lambda _now_ms: 4)
    first_ms, *_, last_ms = [forecast.retry_after_ms(200) for _ in range(20)]
    assert first_ms >= forecast.earliest_end_ms(200) - 200
    assert first_ms < last_ms <= first_ms + 500


def test_forecast_follows_what_replacements_took():
    slow = ReplacementForecast()
    for number in range(20):
        began_ms = 10_000 * number
        slow.update(running(HOSTS, version=number, began_ms=began_ms), began_ms)
        slow.update(None, began_ms + 2_500)
    slow.update(running(HOSTS, version=99, began_ms=500_000), 500_000)
    assert slow.earliest_end_ms(500_000) > 500_000 + TIMEOUT_MS


def test_forecast_of_an_outlier_stays_within_its_bounds():
    """Guards against one replacement of a minute after which all callers are refused."""
    forecast = ReplacementForecast()
    forecast.update(running(HOSTS), 0)
    forecast.update(None, 60_000)
    forecast.update(running(HOSTS, version=5, began_ms=70_000), 70_000)
    assert forecast.earliest_end_ms(70_000) <= 70_000 + TIMEOUT_MS
