"""Plot of the requests of client accounts over time, and of their slot shares."""

from pathlib import Path

import matplotlib
from rattanfork_core.log_reports import AccountLoadReport

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402  the backend is chosen before

#: Most accounts with a line of their own: those that sent most in any interval.
_MAX_ACCOUNTS = 8
_SIZE_INCHES = (10.0, 9.0)


def plot_account_load(report: AccountLoadReport, span: float, path: Path) -> None:
    """Write a chart of requests sent and in time, and of slot shares, to a file.

    The slot shares are those of the service with the most slot time.

    Parameters
    ==========

    report : AccountLoadReport
        The report.
    span : float
        Length of its intervals in seconds.
    path : Path
        The file; its extension determines the image format.

    Raises
    ======

    ValueError
        If the file name extension is not a known image format.
    """
    slot_seconds = report.slot_seconds
    service = max(slot_seconds, key=lambda name: slot_seconds[name], default="")
    figure, (sent, in_time, shares) = pyplot.subplots(
        3, sharex=True, figsize=_SIZE_INCHES
    )
    begins = sorted({interval.begins for interval in report.intervals})
    for account in _most_demanding(report):
        loads = {
            interval.begins: interval.load
            for interval in report.intervals
            if interval.load.account == account
        }
        known = [loads.get(begin) for begin in begins]
        seconds = [begin - begins[0] for begin in begins]
        rates = [load.sent / span if load else 0.0 for load in known]
        sent.step(seconds, rates, where="post", label=account)
        rates = [load.in_time / span if load else 0.0 for load in known]
        in_time.step(seconds, rates, where="post")
        held = [load.slot_shares.get(service, 0.0) if load else 0.0 for load in known]
        shares.step(seconds, held, where="post")
    sent.set_ylabel("sent per second")
    in_time.set_ylabel("in time per second")
    shares.set_ylabel(f"slot share at {service}" if service else "slot share")
    shares.set_xlabel("seconds")
    if begins:
        sent.legend(loc="upper right")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def _most_demanding(report: AccountLoadReport) -> list[str]:
    peaks: dict[str, float] = {}
    for interval in report.intervals:
        load = interval.load
        peaks[load.account] = max(peaks.get(load.account, 0.0), load.sent)
    return sorted(peaks, key=lambda account: -peaks[account])[:_MAX_ACCOUNTS]
