"""The promises, as checks on what happened in a world."""

from collections import Counter

from rattanfork_core.request import Outcome

from rattanfork_testkit.matrix.world import GRANT, World


def check_world(world: World) -> list[str]:
    """Return the promises that were broken, in words."""
    broken = []
    keyed = Counter(run.key for run in world.runs if run.key)
    if any(count > 1 for count in keyed.values()):
        broken.append("a posting ran twice")
    ran = {run.key or run.request_id for run in world.runs}
    unkeyed = Counter(run.request_id for run in world.runs if not run.key)
    posted = {t.request.request_id for t in world.tries if not t.request.idempotent}
    if any(count > 1 for name, count in unkeyed.items() if name in posted):
        broken.append("a posting ran twice")
    for told in world.delivered:
        name = told.key or told.request_id
        if told.result.outcome is Outcome.NOT_RUN and name in ran:
            broken.append("told 'not run', and it ran")
        body = f"for {told.caller} {told.request_id}".encode()
        if told.result.outcome is Outcome.ANSWERED and told.result.body != body:
            broken.append("another caller's answer")
    tries = Counter(attempt.request.request_id for attempt in world.tries)
    for root, count in world.attempts.items():
        if count > tries[root] * (1 + GRANT):
            broken.append("more attempts than granted")
    if world.new_work_after_leaving:
        broken.append("new work for an instance that is leaving")
    if any(attempt.finishes > 1 for attempt in world.tries):
        broken.append("two final answers")
    return sorted(set(broken))
