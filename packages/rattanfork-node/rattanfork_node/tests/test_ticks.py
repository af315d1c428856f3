"""Tests of the ticks that periodic tasks share."""

import asyncio

import uvloop

from rattanfork_node.ticks import TICK_SECONDS, sleep_ticks

#: Largest difference between the wakeups of two tasks at the same tick.
_SAME_WAKEUP_S = 0.02


def test_tasks_started_at_different_times_wake_together():
    """Guards against an idle node that wakes separately for each periodic task."""

    async def run() -> list[float]:
        loop = asyncio.get_running_loop()
        woken = []

        async def wait(delay: float, ticks: int) -> None:
            await asyncio.sleep(delay)
            await sleep_ticks(ticks)
            woken.append(loop.time())

        await sleep_ticks(1)
        await asyncio.gather(wait(0.0, 2), wait(0.02, 2), wait(0.05, 2))
        return woken

    woken = uvloop.run(run())
    assert max(woken) - min(woken) < _SAME_WAKEUP_S


def test_each_wait_ends_at_a_later_tick():
    """Guards against a task that runs twice at one tick, or misses every other one."""

    async def run() -> float:
        await sleep_ticks(1)
        began = asyncio.get_running_loop().time()
        for _ in range(5):
            await sleep_ticks(1)
        return asyncio.get_running_loop().time() - began

    seconds = uvloop.run(run())
    assert 4.5 * TICK_SECONDS < seconds < 7 * TICK_SECONDS
