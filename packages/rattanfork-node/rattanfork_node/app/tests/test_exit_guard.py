"""Tests that a process ends in time, whatever it waits for."""

import subprocess
import sys
import time

import pytest

#: Grace period of the processes in seconds; the guard ends them shortly before.
GRACE_S = 1.2
_START = f"""
import asyncio, time
from rattanfork_node.app.exit_guard import ExitGuard
print(time.monotonic(), flush=True)
guard = ExitGuard({GRACE_S})
guard.arm()
guard.arm()
"""
#: What the process waits for, without a bound of its own.
OBSTACLES = {
    "blocking call": "time.sleep(30)",
    "busy loop": "while True: pass",
    "store that does not close": """
async def main():
    try:
        pass
    finally:
        await asyncio.Event().wait()
asyncio.run(main())
""",
    "task that ignores its cancellation": """
async def ignore():
    while True:
        try:
            await asyncio.sleep(30)
        except asyncio.CancelledError:
            pass
async def main():
    asyncio.ensure_future(ignore())
    await asyncio.sleep(0)
asyncio.run(main())
""",
    "thread that does not end": """
async def main():
    asyncio.ensure_future(asyncio.to_thread(time.sleep, 30))
    await asyncio.sleep(0.05)
asyncio.run(main())
""",
}


@pytest.mark.parametrize("obstacle", OBSTACLES)
def test_process_ends_before_it_is_killed(obstacle):
    """Guards against a process that is killed at the end of its grace period.

    Its standard error shows what it waited for.
    """
    command = [sys.executable, "-c", _START + OBSTACLES[obstacle]]
    ended = subprocess.run(command, capture_output=True, text=True, timeout=20)
    took = time.monotonic() - float(ended.stdout)
    assert ended.returncode == 1
    assert "most recent call first" in ended.stderr
    assert took < GRACE_S


def test_process_that_ends_in_time_keeps_its_status():
    ended = subprocess.run(
        [sys.executable, "-c", _START + "raise SystemExit(0)"], timeout=20
    )
    assert ended.returncode == 0
