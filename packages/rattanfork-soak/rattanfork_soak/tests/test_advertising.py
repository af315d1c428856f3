"""Checks of advertised limits and leaving report breaches and accept allowed cases."""

from rattanfork_soak.advertising import Advertisement
from rattanfork_soak.record import Record


def _record(sent: float, pid: int = 7, **more) -> Record:
    return Record(f"r{sent}", "n0", pid, "GET /a/x ", True, sent, **more)


def _told(advertisement: Advertisement, at: float, pid: int = 7) -> None:
    advertisement.began_at = at
    advertisement.on_forwarded(_record(at, pid, ended=at, advertised=True))


def test_request_long_after_leaving_was_forwarded_is_reported():
    advertisement = Advertisement("i0-1", leaving=True)
    _told(advertisement, 10.0)
    assert advertisement.check_leaving(_record(12.2), 12.25) is None
    assert advertisement.check_leaving(_record(12.4), 12.45) is not None


def test_restart_or_pause_since_excuses_a_node():
    advertisement = Advertisement("i0-1", leaving=True)
    _told(advertisement, 10.0)
    assert advertisement.check_leaving(_record(15.0, pid=8), 15.1) is None
    paused = _record(15.0, interrupted_at=12.0)
    assert advertisement.check_leaving(paused, 15.1) is None


def test_requests_beyond_the_limit_are_reported():
    advertisement = Advertisement("i0-1", rate_limit=2.0)
    _told(advertisement, 10.0)
    times = [13.0 + n / 10 for n in range(18)]
    found = [advertisement.check_limit(_record(at), at) for at in times]
    assert found[:17] == [None] * 17
    assert found[17] is not None


def test_requests_before_the_limit_binds_or_after_it_ended_do_not_count():
    advertisement = Advertisement("i0-1", rate_limit=2.0)
    _told(advertisement, 10.0)
    advertisement.ended_at = 14.0
    for at in (11.0, 12.9, 14.1):
        assert advertisement.check_limit(_record(at), at) is None
    assert advertisement.arrivals == []
