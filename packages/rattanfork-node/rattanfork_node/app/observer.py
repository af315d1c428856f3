"""Tells of a node's own state: gauges, sums, and news of members."""

from collections import Counter
from collections.abc import Callable

from rattanfork_core.clock import Clock
from rattanfork_core.membership import Member, Membership, MemberStatus
from rattanfork_core.quarantine import Quarantine
from rattanfork_core.revision import RevisionState
from rattanfork_platform import WatchedPlatform

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.relay import Gate
from rattanfork_node.telemetry import Counters, RequestLog, log_change


class Observer:
    """Reads a node's state for its log and its metrics.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    log : RequestLog
        Where news of members goes, within the same budget as requests: when a
        region is lost thousands change at once.
    counters : Counters
        What happened.
    membership : Membership
        Who is there.
    gate : Gate
        This node's gate.
    quarantine : Quarantine
        The requests that no upstream may run.
    configuration : ConfigurationHolder
        The configuration in force.
    rules : RevisionState
        The ordered rules in force.
    platform : WatchedPlatform
        The store.
    confirmed_age : callable
        Returns the seconds since the store held nothing newer than this node.
    is_ready : callable
        Whether new work of callers is taken.
    """

    def __init__(
        self,
        clock: Clock,
        log: RequestLog,
        counters: Counters,
        membership: Membership,
        gate: Gate,
        quarantine: Quarantine,
        configuration: ConfigurationHolder,
        rules: RevisionState,
        platform: WatchedPlatform,
        confirmed_age: Callable[[], float],
        is_ready: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._log = log
        self._counters = counters
        self._membership = membership
        self._gate = gate
        self._quarantine = quarantine
        self._configuration = configuration
        self._rules = rules
        self._platform = platform
        self._confirmed_age = confirmed_age
        self._is_ready = is_ready
        self._configuration_since = clock.now()

    def on_configuration(self) -> None:
        """Take note that another configuration came into force."""
        self._configuration_since = self._clock.now()

    def on_member(self, member: Member, before: MemberStatus | None) -> None:
        """Tell of a member that came, went or is suspected."""
        unknown_and_gone = before is None and member.status == MemberStatus.DEAD
        if unknown_and_gone or member.name == self._membership.me.name:
            return
        if self._log.wants(b"", plain=False):
            fields = {
                "member": member.name,
                "service": member.service,
                "status": _label(member.status),
                "before": "unknown" if before is None else _label(before),
            }
            self._log.write("member", b"", fields)

    def log_summary(self) -> None:
        """Write what was counted since the start; its size is bounded."""
        snapshot = self._counters.snapshot()
        log_change(
            "counted",
            requests=snapshot["requests"],
            losses=snapshot["losses"],
            events=snapshot["events"],
            store=snapshot["store"],
            store_silence_s=round(self._platform.seconds_since_answer, 2),
            store_pending=self._store_pending(),
            configuration=self._configuration.version,
            confirmed_s=round(self._confirmed_age(), 2),
            running=self._gate.outstanding - self._gate.waiting,
            waiting=self._gate.waiting,
            cut=round(self._gate.own_threshold, 3),
            members=len(self._membership.present()),
            lines_left_out=self._log.left_out(),
        )

    def _store_pending(self) -> list[dict[str, object]]:
        """Return the calls that wait: a call is counted only when it has ended."""
        return [
            {
                "call": pending.call,
                "waited_s": round(pending.elapsed, 2),
                "rested_s": _rounded(pending.idle_before),
            }
            for pending in self._platform.pending
        ]

    def gauges(self) -> dict[str, float]:
        """Return the present state by name."""
        members = Counter(m.status for m in self._membership.members.values())
        return {
            **{f"members_{_label(status)}": members[status] for status in MemberStatus},
            "running": self._gate.outstanding - self._gate.waiting,
            "waiting": self._gate.waiting,
            "slots": self._gate.slots,
            "cut": self._gate.own_threshold,
            "accepting": int(self._gate.accepting),
            "quarantined": len(self._quarantine.fingerprints),
            "impaired": int(self._gate.health.impaired),
            "repeats_granted": self._gate.grants.spent,
            "repeats_allowed": self._gate.grants.allowed,
            "ready": int(self._is_ready()),
            "configuration_version": self._configuration.version,
            "configuration_age_seconds": self._clock.now() - self._configuration_since,
            "configuration_confirmed_seconds": self._confirmed_age(),
            "rules_revision": self._rules.revision,
            "store_silence_seconds": self._platform.seconds_since_answer,
            "store_calls_pending": len(self._platform.pending),
        }


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 2)


def _label(status: int) -> str:
    return MemberStatus(status).name.lower()
