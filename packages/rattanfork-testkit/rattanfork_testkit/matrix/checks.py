"""Checks of the guarantees on the events of a finished simulation."""

from collections import Counter

from rattanfork_core.request import Outcome

from rattanfork_testkit.matrix.simulation import RETRY_GRANT, Simulation


def find_violations(simulation: Simulation) -> list[str]:
    """Return a description of each violated guarantee."""
    violations = []
    runs_by_key = Counter(run.key for run in simulation.runs if run.key)
    if any(count > 1 for count in runs_by_key.values()):
        violations.append("a non-idempotent request ran twice")
    ran = {run.key or run.request_id for run in simulation.runs}
    runs_by_id = Counter(run.request_id for run in simulation.runs if not run.key)
    non_idempotent = {
        t.request.request_id
        for t in simulation.client_attempts
        if not t.request.idempotent
    }
    if any(count > 1 for name, count in runs_by_id.items() if name in non_idempotent):
        violations.append("a non-idempotent request ran twice")
    for delivery in simulation.deliveries:
        name = delivery.key or delivery.request_id
        if delivery.result.outcome is Outcome.NOT_RUN and name in ran:
            violations.append("reported as 'not run', but it ran")
        body = f"for {delivery.caller} {delivery.request_id}".encode()
        if delivery.result.outcome is Outcome.ANSWERED and delivery.result.body != body:
            violations.append("answer of another caller")
    attempts_by_id = Counter(
        attempt.request.request_id for attempt in simulation.client_attempts
    )
    for root, count in simulation.calls_sent.items():
        if count > attempts_by_id[root] * (1 + RETRY_GRANT):
            violations.append("more attempts than the budget grants")
    if simulation.started_after_drain:
        violations.append("new request started at an instance that is leaving")
    if any(attempt.final_results > 1 for attempt in simulation.client_attempts):
        violations.append("two final results of one attempt")
    return sorted(set(violations))
