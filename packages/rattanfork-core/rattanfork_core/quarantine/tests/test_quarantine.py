"""Start, duration and end of quarantines, and dissemination of their reports."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from rattanfork_core.clock import ManualClock
from rattanfork_core.quarantine import CrashReport, Quarantine, SuccessReport

MONTH_S = 30 * 24 * 3600.0


def quarantine_of(clock: ManualClock, crashes: int = 2) -> Quarantine:
    """Return a quarantine that contains request 7."""
    quarantine = Quarantine(clock)
    for incarnation in range(crashes):
        quarantine.report(incarnation, [7, 100 + incarnation])
    return quarantine


def test_single_crash_quarantines_no_request():
    """Guards against refusing all requests in flight at a crash with another cause."""
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


def test_crash_reported_twice_counts_once():
    """The same report may be received from several nodes."""
    quarantine = Quarantine(ManualClock())
    quarantine.report(1, [7])
    assert not quarantine.receive([CrashReport(1, 20, (7,))])
    assert not quarantine.contains(7)


@pytest.mark.parametrize(("crashes", "seconds"), [(2, 60), (3, 300), (4, 1500)])
def test_duration_grows_with_each_further_crash(crashes, seconds):
    clock = ManualClock()
    quarantine = quarantine_of(clock, crashes)
    clock.advance(seconds - 1)
    assert quarantine.contains(7)
    assert quarantine.seconds_left(7) == pytest.approx(1)
    clock.advance(2)
    assert not quarantine.contains(7)
    assert not quarantine.active


def test_request_accepted_again_after_its_quarantine_is_not_retried():
    """Guards against a crash of a second upstream when the request is tested again."""
    clock = ManualClock()
    quarantine = quarantine_of(clock)
    clock.advance(400)
    assert not quarantine.contains(7)
    assert not quarantine.may_retry(7)


def test_crash_after_the_quarantine_starts_a_longer_one():
    clock = ManualClock()
    quarantine = quarantine_of(clock)
    clock.advance(400)
    quarantine.report(9, [7])
    assert quarantine.seconds_left(7) == 300


def test_age_in_a_report_shortens_the_quarantine_at_the_receiver():
    clock = ManualClock()
    source = quarantine_of(clock)
    clock.advance(50)
    other = Quarantine(clock)
    other.receive(source.quarantined_reports())
    assert other.seconds_left(7) == pytest.approx(10, abs=0.01)


def test_report_older_than_any_quarantine_is_ignored():
    quarantine = Quarantine(ManualClock())
    month_ms = int(MONTH_S * 1000)
    assert not quarantine.receive([CrashReport(1, month_ms, (7,))])
    assert len(quarantine) == 0


def test_report_is_sent_three_times():
    quarantine = Quarantine(ManualClock())
    quarantine.report(1, [7])
    sent = [quarantine.updates() for _ in range(10)]
    assert [len(reports) for reports in sent] == [1, 1, 1] + 7 * [0]


def test_crash_with_many_suspects_is_split_over_datagrams():
    """Guards against datagrams above the size limit."""
    quarantine = Quarantine(ManualClock())
    quarantine.report(1, range(1000))
    received: set[int] = set()
    for _ in range(60):
        for report in quarantine.updates():
            assert len(report.fingerprints) <= 100
            received.update(report.fingerprints)
    assert received == set(range(1000))


def test_anti_entropy_transfers_the_quarantine_to_a_new_node():
    clock = ManualClock()
    source = quarantine_of(clock)
    fresh = Quarantine(clock)
    fresh.receive(source.anti_entropy())
    assert fresh.contains(7)
    assert len(fresh) == 1


def test_anti_entropy_covers_all_quarantined_requests_in_turn():
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


def test_anti_entropy_omits_suspects_of_single_crashes():
    quarantine = Quarantine(ManualClock())
    quarantine.report(1, [7])
    assert quarantine.anti_entropy() == []


def test_quarantined_request_is_kept_when_memory_is_full():
    """Guards against many crashes that displace a request already quarantined."""
    clock = ManualClock()
    quarantine = quarantine_of(clock)
    for incarnation in range(10, 1500):
        clock.advance(0.03)
        quarantine.report(incarnation, range(20 * incarnation, 20 * incarnation + 20))
    assert len(quarantine) <= 8192 + 20
    assert len(quarantine._crashes) <= 512
    assert quarantine.contains(7)


def test_suspect_of_a_single_crash_expires():
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
def test_malformed_report_raises_value_error(fields):
    with pytest.raises(ValueError, match="report"):
        CrashReport.from_fields(fields)


def test_success_between_two_crashes_clears_a_suspect():
    """Guards against the quarantine of a popular request in flight at two crashes."""
    clock = ManualClock()
    quarantine = Quarantine(clock)
    quarantine.report(1, [7])
    clock.advance(5)
    quarantine.on_success(7)
    clock.advance(5)
    quarantine.report(2, [7])
    assert not quarantine.contains(7)


def test_success_shortly_before_both_crashes_lifts_the_quarantine():
    clock = ManualClock()
    quarantine = quarantine_of(clock)
    quarantine.receive_successes([SuccessReport(1000, (7,))])
    assert not quarantine.contains(7)
    assert not quarantine.receive([CrashReport(1, 0, (7,))])


def test_success_long_before_a_crash_clears_no_suspect():
    clock = ManualClock()
    quarantine = Quarantine(clock)
    quarantine.report(1, [7])
    quarantine.on_success(7)
    clock.advance(100)
    quarantine.report(2, [7])
    quarantine.report(3, [7])
    assert quarantine.contains(7)


def test_success_of_a_suspect_is_sent_three_times():
    clock = ManualClock()
    source, other = quarantine_of(clock), quarantine_of(clock)
    source.on_success(7)
    source.on_success(12345)
    sent = [source.success_updates() for _ in range(6)]
    assert [len(reports) for reports in sent] == [1, 1, 1, 0, 0, 0]
    assert sent[0][0].fingerprints == (7,)
    assert other.receive_successes(sent[0])
    assert not other.contains(7)


@given(
    st.lists(
        st.one_of(
            st.tuples(st.integers(1, 4), st.integers(0, 200)),
            st.tuples(st.just(0), st.integers(0, 200)),
        ),
        max_size=10,
    ),
    st.randoms(),
)
def test_order_of_successes_and_crashes_does_not_matter(events, random):
    clock = ManualClock(1000.0)
    views = []
    for _ in range(2):
        random.shuffle(events)
        view = Quarantine(clock)
        for incarnation, age in events:
            if incarnation:
                # An incarnation crashes once, so its age is always the same.
                reports = [CrashReport(incarnation, 50_000 * incarnation, (7,))]
                view.receive(reports)
            else:
                view.receive_successes([SuccessReport(age * 1000, (7,))])
        views.append(view)
    assert views[0].contains(7) == views[1].contains(7)


def test_malformed_success_report_is_named_so():
    """Guards against an error that sends its reader to the wrong kind of message."""
    with pytest.raises(ValueError, match="^success report: integers"):
        SuccessReport.from_fields((-1, (7,)))
    with pytest.raises(ValueError, match="^success report: list"):
        SuccessReport.from_fields((1, 7))
