"""Reports computed from the logs of all nodes; not imported by a node."""

from rattanfork_core.log_reports.account_load import (
    AccountLoad,
    AccountLoadReport,
    measure_account_load,
)
from rattanfork_core.log_reports.sampled_roots import RequestResult
from rattanfork_core.log_reports.slot_time import SlotTimeCounter, measure_slot_time
from rattanfork_core.log_reports.slot_time_report import SlotTime, SlotTimeReport

__all__ = [
    "AccountLoad",
    "AccountLoadReport",
    "RequestResult",
    "SlotTime",
    "SlotTimeCounter",
    "SlotTimeReport",
    "measure_account_load",
    "measure_slot_time",
]
