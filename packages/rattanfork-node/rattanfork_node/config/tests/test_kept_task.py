"""Background tasks beside errors that nobody expects."""

import asyncio
from collections import Counter

from rattanfork_node.config import kept_task
from rattanfork_node.config.kept_task import keep_running
from rattanfork_node.config.tests.fakes import wait_until
from rattanfork_node.config.tests.test_configuration_task import Harness, with_harness


def fail_at_first_change(harness: Harness) -> None:
    """Make the first configuration that comes into force raise an error."""

    def fail(configuration):
        harness.holder.on_change = lambda _: None
        raise RecursionError("odd document")

    harness.holder.on_change = fail


@with_harness
async def test_watch_goes_on_after_an_unexpected_error(harness):
    """Guards against a node that follows the configuration no more."""
    fail_at_first_change(harness)
    harness.write(b"1")
    harness.task.start()
    await wait_until(lambda: harness.counters.events["task.failed"] == 1)
    harness.write(b"2")
    await wait_until(lambda: harness.holder.version == 2)


@with_harness
async def test_polls_go_on_after_an_unexpected_error(harness):
    """Guards against a node that no longer confirms its configuration."""
    fail_at_first_change(harness)
    harness.write(b"1")
    harness.confirmation.start()
    await wait_until(lambda: harness.counters.events["task.failed"] == 1)
    harness.write(b"2")
    await wait_until(lambda: harness.holder.version == 2)
    harness.confirmation.close()


def test_kept_task_ends_when_it_is_cancelled(monkeypatch):
    """Guards against tasks that outlive their node."""
    monkeypatch.setattr(kept_task, "_RESTART_DELAY_S", 0.0)

    async def run():
        events = Counter()

        async def fail():
            raise ValueError("x" * 9999)

        task = keep_running(fail, events)
        await wait_until(lambda: events["task.failed"] > 2)
        task.cancel()
        await asyncio.wait((task,))
        assert task.cancelled()

    asyncio.run(run())
