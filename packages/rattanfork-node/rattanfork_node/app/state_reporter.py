"""Reports the state of a routing node to its log and metrics."""

from collections import Counter
from collections.abc import Callable

from rattanfork_core.clock import Clock
from rattanfork_core.membership import Member, Membership, MemberStatus
from rattanfork_core.quarantine import Quarantine
from rattanfork_core.revision import RevisionState
from rattanfork_core.uploads import BodyBudget
from rattanfork_platform import WatchedPlatform

from rattanfork_node.config.holder import ConfigurationHolder
from rattanfork_node.relay import Gate
from rattanfork_node.telemetry import Counters, RequestLog, log_change


class StateReporter:
    """Logs summaries and membership changes, and provides gauges.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    log : RequestLog
        Log for membership changes.  They share the line budget of requests, since
        the loss of a region changes thousands of members at once.
    counters : Counters
        Event counters.
    membership : Membership
        Members of the fleet.
    gate : Gate
        Gate of this node's upstream.
    quarantine : Quarantine
        Fingerprints of requests that no upstream may execute.
    configuration : ConfigurationHolder
        The configuration in force.
    rules : RevisionState
        The rules in force.
    platform : WatchedPlatform
        The store.
    confirmed_age : callable
        Returns the seconds since the store was last confirmed to hold nothing newer
        than this node.
    is_ready : callable
        Returns whether new requests of callers are accepted.
    body_budget : BodyBudget
        Budget for large request bodies.
    fair_share_gauges : callable
        Returns the gauges of fair shares; none without client accounts.
    memory_gauges : callable
        Returns the gauges of the memory of the process.
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
        body_budget: BodyBudget,
        fair_share_gauges: Callable[[], dict[str, float]],
        memory_gauges: Callable[[], dict[str, int]],
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
        self._body_budget = body_budget
        self._fair_share_gauges = fair_share_gauges
        self._memory_gauges = memory_gauges
        self._configuration_since = clock.now()

    def on_configuration(self) -> None:
        """Record when the new configuration came into force."""
        self._configuration_since = self._clock.now()

    def on_member(self, member: Member, before: MemberStatus | None) -> None:
        """Log a member's change of status, within the line budget."""
        first_seen_dead = before is None and member.status == MemberStatus.DEAD
        if first_seen_dead or member.name == self._membership.me.name:
            return
        if self._log.should_log(b"", plain=False):
            fields = {
                "member": member.name,
                "service": member.service,
                "status": _status_label(member.status),
                "before": "unknown" if before is None else _status_label(before),
            }
            self._log.write("member", b"", fields)

    def log_summary(self) -> None:
        """Log the counters since the start; the size of the line is bounded."""
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
            upstream_limit=self._gate.rate_limit,
            upload=self._upload_fields(),
            memory=self._memory_gauges(),
            retries=self._retry_fields(),
            members=len(self._membership.present()),
            lines_left_out=self._log.take_left_out(),
            **self._fair_share_gauges(),
        )

    def _retry_fields(self) -> dict[str, object]:
        """Return the state of the retry budget, and its charges since the start."""
        grants = self._gate.grants
        charged = {str(charge): count for charge, count in grants.charged.items()}
        return grants.state.as_log_field() | charged

    def _upload_fields(self) -> dict[str, int]:
        """Return what large bodies hold at this node, in bytes."""
        budget = self._body_budget
        return {
            "held": budget.held,
            "peak": budget.peak,
            "budget": budget.capacity,
            "large_held": budget.large_held,
            "large_peak": budget.large_peak,
            "large_budget": budget.large_room,
            "waiting": budget.waiting,
            "gate_held": self._gate.upload_bytes,
        }

    def _store_pending(self) -> list[dict[str, object]]:
        """Return the unanswered store calls; counters hold only completed ones."""
        return [
            {
                "call": pending.call,
                "waited_s": round(pending.elapsed, 2),
                "rested_s": _round_seconds(pending.idle_before),
            }
            for pending in self._platform.pending
        ]

    def gauges(self) -> dict[str, float]:
        """Return the current gauge values by name.

        ``upstream_rate_limit`` is absent while the upstream advertises no limit.
        """
        limit = self._gate.rate_limit
        members = Counter(m.status for m in self._membership.members.values())
        return {
            **{
                f"members_{_status_label(status)}": members[status]
                for status in MemberStatus
            },
            "running": self._gate.outstanding - self._gate.waiting,
            "waiting": self._gate.waiting,
            "slots": self._gate.slots,
            "cut": self._gate.own_threshold,
            "accepting": int(self._gate.accepting),
            "quarantined": len(self._quarantine.fingerprints),
            "impaired": int(self._gate.health.impaired),
            "upstream_leaving": int(self._gate.advertised.leaving),
            **({} if limit is None else {"upstream_rate_limit": limit}),
            "upload_bytes_held": self._body_budget.held,
            "upload_bytes_budget": self._body_budget.capacity,
            "large_body_bytes_held": self._body_budget.large_held,
            "large_body_bytes_budget": self._body_budget.large_room,
            "uploads_waiting": self._body_budget.waiting,
            "upload_bytes_at_gate": self._gate.upload_bytes,
            "repeats_granted": self._gate.grants.spent,
            "repeats_allowed": self._gate.grants.allowed,
            "retry_budget_age_seconds": self._gate.grants.state.age,
            "retry_budget_gates": self._gate.grants.state.gates,
            **{
                f"retries_{charge}": count
                for charge, count in self._gate.grants.charged.items()
            },
            "ready": int(self._is_ready()),
            "configuration_version": self._configuration.version,
            "configuration_age_seconds": self._clock.now() - self._configuration_since,
            "configuration_confirmed_seconds": self._confirmed_age(),
            "rules_revision": self._rules.revision,
            "store_silence_seconds": self._platform.seconds_since_answer,
            "store_calls_pending": len(self._platform.pending),
            **self._memory_gauges(),
            **self._fair_share_gauges(),
        }


def _round_seconds(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 2)


def _status_label(status: int) -> str:
    return MemberStatus(status).name.lower()
