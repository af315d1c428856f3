"""A reported threshold expires, so a gate that has opened receives requests again."""

from rattanfork_core.clock import ManualClock
from rattanfork_core.gate_status import ThresholdCache


def cache_with(threshold: float) -> tuple[ThresholdCache, ManualClock]:
    clock = ManualClock(50.0)
    thresholds = ThresholdCache(clock)
    thresholds.update("donors/search", "w1", threshold)
    return thresholds, clock


def test_unknown_instance_or_operation_is_open():
    thresholds, _ = cache_with(2.0)
    assert thresholds.threshold("donors/search", "w2") == 5.0
    assert thresholds.threshold("donors/list", "w1") == 5.0


def test_fresh_threshold_is_returned_unchanged():
    thresholds, clock = cache_with(2.0)
    clock.advance(0.7)
    assert thresholds.threshold("donors/search", "w1") == 2.0


def test_threshold_without_replies_rises_until_it_is_open():
    # If every request is shed early, no reply reports that the gate has opened.
    thresholds, clock = cache_with(0.02)
    risen = []
    for _ in range(12):
        clock.advance(1.0)
        risen.append(thresholds.threshold("donors/search", "w1"))
    assert risen == sorted(risen)
    assert risen[-1] == 5.0


def test_one_probe_passes_and_only_close_to_the_threshold():
    thresholds, clock = cache_with(2.0)
    clock.advance(0.5)
    allowed = [
        thresholds.allow_probe("donors/search", "w1", rank) for rank in (3.0, 2.1, 2.1)
    ]
    assert allowed == [False, True, False]


def test_open_gate_is_removed_from_the_cache():
    thresholds, _ = cache_with(2.0)
    thresholds.update("donors/search", "w1", 5.0)
    assert len(thresholds) == 0


def test_number_of_entries_is_bounded():
    # Operations come from URLs, so their number is unlimited.
    thresholds, _ = cache_with(2.0)
    for i in range(thresholds.MAX_ENTRIES + 100):
        thresholds.update(f"donors/{i}", "w1", 1.0)
    assert len(thresholds) == thresholds.MAX_ENTRIES


def test_full_cache_drops_the_entry_updated_longest_ago(monkeypatch):
    """Guards against a gate that sheds now and is forgotten for one that did once."""
    monkeypatch.setattr(ThresholdCache, "MAX_ENTRIES", 2)
    thresholds, clock = cache_with(2.0)
    thresholds.update("donors/search", "w2", 1.0)
    thresholds.update("donors/search", "w1", 2.0)
    thresholds.update("donors/search", "w3", 3.0)
    reported = {w: thresholds.threshold("donors/search", w) for w in ("w1", "w2", "w3")}
    assert reported == {"w1": 2.0, "w2": 5.0, "w3": 3.0}
