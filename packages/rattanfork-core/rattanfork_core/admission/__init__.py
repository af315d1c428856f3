"""Admission control in front of an upstream: concurrency limit, queue, shedding."""

from rattanfork_core.admission.controller import AdmissionController
from rattanfork_core.admission.decisions import Decision, Refuse, Start
from rattanfork_core.admission.demand import DemandHistogram
from rattanfork_core.admission.estimate import ServiceTimeEstimate
from rattanfork_core.admission.limit import ConcurrencyLimit
from rattanfork_core.admission.queue import WaitQueue
from rattanfork_core.admission.settings import AdmissionSettings
from rattanfork_core.admission.threshold import AdmissionThreshold
from rattanfork_core.admission.waiter import Waiter

__all__ = [
    "AdmissionController",
    "AdmissionSettings",
    "AdmissionThreshold",
    "ConcurrencyLimit",
    "Decision",
    "DemandHistogram",
    "Refuse",
    "ServiceTimeEstimate",
    "Start",
    "WaitQueue",
    "Waiter",
]
