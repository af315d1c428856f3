"""Which requests are quarantined, for how long, and how the fleet learns of them."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.quarantine import CrashReport, Quarantine

FOREVER = 30 * 24 * 3600.0


def convicted(clock: ManualClock, ends: int = 2) -> Quarantine:
    """Return a quarantine that holds request 7."""
    quarantine = Quarantine(clock)
    for incarnation in range(ends):
        quarantine.report(incarnation, [7, 100 + incarnation])
    return quarantine


def test_one_crash_quarantines_nobody():
    """Guards against losing all that was under way when an upstream ends by itself."""
    quarantine = Quarantine(ManualClock())
    quarantine.report(1, range(50))
    assert not quarantine.active
    assert not any(map(quarantine.holds, range(50)))


def test_request_common_to_two_crashes_is_quarantined():
    quarantine = convicted(ManualClock())
    assert quarantine.holds(7)
    assert quarantine.held == [7]
    assert not quarantine.may_retry(7)
    assert quarantine.may_retry(100)


def test_same_crash_reported_twice_counts_once():
    """Guards against reports that several nodes pass on."""
    quarantine = Quarantine(ManualClock())
    quarantine.report(1, [7])
    assert not quarantine.receive([CrashReport(1, 20, (7,))])
    assert not quarantine.holds(7)


@pytest.mark.parametrize(("ends", "seconds"), [(2, 300), (3, 1200), (4, 4800)])
def test_hold_grows_with_each_further_crash(ends, seconds):
    clock = ManualClock()
    quarantine = convicted(clock, ends)
    clock.advance(seconds - 1)
    assert quarantine.holds(7)
    assert quarantine.seconds_left(7) == pytest.approx(1)
    clock.advance(2)
    assert not quarantine.holds(7)
    assert not quarantine.active


def test_request_on_trial_is_not_retried():
    """Guards against a trial that costs two upstreams at once."""
    clock = ManualClock()
    quarantine = convicted(clock)
    clock.advance(400)
    assert not quarantine.holds(7)
    assert not quarantine.may_retry(7)


def test_crash_on_trial_quarantines_again_at_once():
    clock = ManualClock()
    quarantine = convicted(clock)
    clock.advance(400)
    quarantine.report(9, [7])
    assert quarantine.seconds_left(7) == 1200


def test_reports_age_by_the_clock_of_who_made_them():
    clock = ManualClock()
    source = convicted(clock)
    clock.advance(290)
    other = Quarantine(clock)
    other.receive(source.held_reports())
    assert other.seconds_left(7) == pytest.approx(10, abs=0.01)


def test_reports_of_long_ago_are_ignored():
    quarantine = Quarantine(ManualClock())
    month = int(FOREVER * 1000)
    assert not quarantine.receive([CrashReport(1, month, (7,))])
    assert len(quarantine) == 0


def test_news_is_passed_on_a_few_times_only():
    quarantine = Quarantine(ManualClock())
    quarantine.report(1, [7])
    told = [quarantine.news() for _ in range(10)]
    assert [len(reports) for reports in told] == [1, 1, 1] + 7 * [0]


def test_crash_with_much_under_way_is_told_in_parts():
    """Guards against datagrams that are too long to arrive."""
    quarantine = Quarantine(ManualClock())
    quarantine.report(1, range(1000))
    heard: set[int] = set()
    for _ in range(60):
        for report in quarantine.news():
            assert len(report.fingerprints) <= 100
            heard.update(report.fingerprints)
    assert heard == set(range(1000))


def test_reminder_brings_a_fresh_node_what_is_held():
    clock = ManualClock()
    source = convicted(clock)
    fresh = Quarantine(clock)
    fresh.receive(source.reminder())
    assert fresh.holds(7)
    assert len(fresh) == 1


def test_reminders_cover_all_that_is_held_in_turn():
    clock = ManualClock()
    source = Quarantine(clock)
    for incarnation in range(8):
        source.report(incarnation, range(10 * (incarnation // 2), 60))
    fresh = Quarantine(clock)
    for _ in range(20):
        reminder = source.reminder()
        assert sum(len(r.fingerprints) for r in reminder) <= 100
        fresh.receive(reminder)
    assert set(fresh.held) == set(source.held)


def test_nothing_held_needs_no_reminder():
    quarantine = Quarantine(ManualClock())
    quarantine.report(1, [7])
    assert quarantine.reminder() == []


def test_memory_is_bounded_and_keeps_what_is_held():
    """Guards against a wave of crashes that makes nodes forget deadly requests."""
    clock = ManualClock()
    quarantine = convicted(clock)
    for incarnation in range(10, 1500):
        clock.advance(0.1)
        quarantine.report(incarnation, range(20 * incarnation, 20 * incarnation + 20))
    assert len(quarantine) <= 8192 + 20
    assert len(quarantine._crashes) <= 512
    assert quarantine.holds(7)


def test_single_crashes_are_forgotten_in_time():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    quarantine.report(1, [7])
    clock.advance(4000)
    quarantine.report(2, [8])
    assert len(quarantine) == 1


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.lists(st.integers(0, 8), max_size=4)),
        max_size=12,
    ),
    st.randoms(),
)
def test_order_and_repetition_of_reports_do_not_matter(crashes, random):
    clock = ManualClock()
    source = Quarantine(clock)
    for incarnation, fingerprints in crashes:
        source.report(incarnation, fingerprints)
    reports = [CrashReport(i, 0, tuple(f)) for i, f in crashes] * 2
    random.shuffle(reports)
    other = Quarantine(clock)
    for report in reports:
        other.receive([report])
    assert set(other.held) == set(source.held)


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 3)), max_size=20))
def test_nobody_is_held_under_whom_fewer_than_two_ended(crashes):
    quarantine = Quarantine(ManualClock())
    ends: dict[int, set[int]] = {}
    for incarnation, fingerprint in crashes:
        quarantine.report(incarnation, [fingerprint])
        ends.setdefault(fingerprint, set()).add(incarnation)
    for fingerprint, incarnations in ends.items():
        assert quarantine.holds(fingerprint) == (len(incarnations) >= 2)


@pytest.mark.parametrize(
    "fields",
    [
        None,
        (1, 2),
        (1, 2, 3),
        (1, "2", (3,)),
        (1, 2, ("3",)),
        (1, 2, (True,)),
        (1 << 65, 2, ()),
        (1, -2, ()),
    ],
)
def test_malformed_report_is_refused(fields):
    with pytest.raises(ValueError, match="report"):
        CrashReport.from_fields(fields)
