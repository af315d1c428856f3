"""Background tasks that go on after an unexpected error."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine

from rattanfork_node.telemetry import log_change

#: Seconds before a task is run again; also bounds its log lines.
_RESTART_DELAY_S = 1.0
_MAX_LOGGED_CHARACTERS = 200


def keep_running(
    run: Callable[[], Coroutine[None, None, None]], events: Counter[str]
) -> asyncio.Task[None]:
    """Start an endless coroutine function, and run it again whenever it fails.

    Explanation
    ===========

    An exception that nobody expects, such as that of a library at an odd document,
    ends an asyncio task without a trace.  A node whose watches have ended still says
    that it is ready, but follows the store no more.

    Parameters
    ==========

    run : callable
        Coroutine function that does not return.
    events : collections.Counter
        Counts failures as ``task.failed``.
    """
    return asyncio.ensure_future(_keep_running(run, events))


async def _keep_running(
    run: Callable[[], Coroutine[None, None, None]], events: Counter[str]
) -> None:
    while True:
        try:
            await run()
        except Exception as error:
            events["task.failed"] += 1
            log_change(
                "task_failed",
                task=run.__qualname__,
                error=repr(error)[:_MAX_LOGGED_CHARACTERS],
            )
        await asyncio.sleep(_RESTART_DELAY_S)
