"""Which requests are quarantined, for how long, and how reports of them travel."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.quarantine import CrashReport, Quarantine

FOREVER = 30 * 24 * 3600.0


def quarantine_of(clock: ManualClock, crashes: int = 2) -> Quarantine:
    """Return a quarantine that contains request 7."""
    quarantine = Quarantine(clock)
    for incarnation in range(crashes):
        quarantine.report(incarnation, [7, 100 + incarnation])
    return quarantine


def test_one_crash_quarantines_nobody():
    """Guards against losing all that was in flight when an upstream just crashes."""
    quarantine = Quarantine(ManualClock())
    quarantine.report(1, range(50))
    assert not quarantine.active
    assert not any(map(quarantine.contains, range(50)))


def test_request_common_to_two_crashes_is_quarantined():
    quarantine = quarantine_of(ManualClock())
    assert quarantine.contains(7)
    assert quarantine.fingerprints == [7]
    assert not quarantine.may_retry(7)
    assert quarantine.may_retry(100)


def test_same_crash_reported_twice_counts_once():
    """Guards against reports that arrive over several nodes."""
    quarantine = Quarantine(ManualClock())
    quarantine.report(1, [7])
    assert not quarantine.receive([CrashReport(1, 20, (7,))])
    assert not quarantine.contains(7)


@pytest.mark.parametrize(("crashes", "seconds"), [(2, 300), (3, 1200), (4, 4800)])
def test_duration_grows_with_each_further_crash(crashes, seconds):
    clock = ManualClock()
    quarantine = quarantine_of(clock, crashes)
    clock.advance(seconds - 1)
    assert quarantine.contains(7)
    assert quarantine.seconds_left(7) == pytest.approx(1)
    clock.advance(2)
    assert not quarantine.contains(7)
    assert not quarantine.active


def test_request_let_in_again_is_not_retried():
    """Guards against a second upstream that crashes for the same test."""
    clock = ManualClock()
    quarantine = quarantine_of(clock)
    clock.advance(400)
    assert not quarantine.contains(7)
    assert not quarantine.may_retry(7)


def test_crash_after_the_quarantine_renews_it_at_once():
    clock = ManualClock()
    quarantine = quarantine_of(clock)
    clock.advance(400)
    quarantine.report(9, [7])
    assert quarantine.seconds_left(7) == 1200


def test_reports_age_by_the_clock_of_who_made_them():
    clock = ManualClock()
    source = quarantine_of(clock)
    clock.advance(290)
    other = Quarantine(clock)
    other.receive(source.quarantined_reports())
    assert other.seconds_left(7) == pytest.approx(10, abs=0.01)


def test_reports_of_long_ago_are_ignored():
    quarantine = Quarantine(ManualClock())
    month = int(FOREVER * 1000)
    assert not quarantine.receive([CrashReport(1, month, (7,))])
    assert len(quarantine) == 0


def test_report_is_disseminated_a_few_times_only():
    quarantine = Quarantine(ManualClock())
    quarantine.report(1, [7])
    sent = [quarantine.updates() for _ in range(10)]
    assert [len(reports) for reports in sent] == [1, 1, 1] + 7 * [0]


def test_crash_with_many_suspects_is_reported_in_parts():
    """Guards against datagrams that are too long to arrive."""
    quarantine = Quarantine(ManualClock())
    quarantine.report(1, range(1000))
    received: set[int] = set()
    for _ in range(60):
        for report in quarantine.updates():
            assert len(report.fingerprints) <= 100
            received.update(report.fingerprints)
    assert received == set(range(1000))


def test_anti_entropy_brings_a_fresh_node_what_is_quarantined():
    clock = ManualClock()
    source = quarantine_of(clock)
    fresh = Quarantine(clock)
    fresh.receive(source.anti_entropy())
    assert fresh.contains(7)
    assert len(fresh) == 1


def test_anti_entropy_covers_all_that_is_quarantined_in_turn():
    clock = ManualClock()
    source = Quarantine(clock)
    for incarnation in range(8):
        source.report(incarnation, range(10 * (incarnation // 2), 60))
    fresh = Quarantine(clock)
    for _ in range(20):
        datagram = source.anti_entropy()
        assert sum(len(r.fingerprints) for r in datagram) <= 100
        fresh.receive(datagram)
    assert set(fresh.fingerprints) == set(source.fingerprints)


def test_single_crash_needs_no_anti_entropy():
    quarantine = Quarantine(ManualClock())
    quarantine.report(1, [7])
    assert quarantine.anti_entropy() == []


def test_memory_is_bounded_and_keeps_what_is_quarantined():
    """Guards against a wave of crashes that makes nodes forget deadly requests."""
    clock = ManualClock()
    quarantine = quarantine_of(clock)
    for incarnation in range(10, 1500):
        clock.advance(0.1)
        quarantine.report(incarnation, range(20 * incarnation, 20 * incarnation + 20))
    assert len(quarantine) <= 8192 + 20
    assert len(quarantine._crashes) <= 512
    assert quarantine.contains(7)


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
    assert set(other.fingerprints) == set(source.fingerprints)


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 3)), max_size=20))
def test_request_of_fewer_than_two_crashes_is_not_quarantined(crashes):
    quarantine = Quarantine(ManualClock())
    crashes_of: dict[int, set[int]] = {}
    for incarnation, fingerprint in crashes:
        quarantine.report(incarnation, [fingerprint])
        crashes_of.setdefault(fingerprint, set()).add(incarnation)
    for fingerprint, incarnations in crashes_of.items():
        assert quarantine.contains(fingerprint) == (len(incarnations) >= 2)


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
