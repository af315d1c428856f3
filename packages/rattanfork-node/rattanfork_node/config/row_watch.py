"""Follows one row of the store."""

import asyncio
from collections.abc import Callable

from rattanfork_platform import HistoryLostError, Rows, WatchedPlatform

#: Seconds between two looks whether the watch has become this node's duty; until
#: then the others of the group ask the store in turn.
_DUTY_LOOK = 1.0


def _always() -> bool:
    return True


class RowWatch:
    """Learns what becomes of one row, by a watch and by looking.

    Explanation
    ===========

    A watch brings a change at once, and cannot be trusted: a store that was
    silent when it was asked, or a connection that went silent since, leaves it
    waiting for its whole time.  Who learns of a change by another way therefore
    says so by :meth:`overtaken`, and the watch is made anew.

    Each watch is a call to the store for every change and every end of its wait.  A
    few nodes of a large fleet watch for all; the others read the row once, when
    they start, and hear of changes from their peers.

    Parameters
    ==========

    platform : WatchedPlatform
        The store.
    table, key : str
        The row.
    wait : float
        Seconds for which one watch waits.
    on_duty : callable
        Whether this node watches now.
    """

    def __init__(
        self,
        platform: WatchedPlatform,
        table: str,
        key: str,
        wait: float,
        on_duty: Callable[[], bool] = _always,
    ) -> None:
        self._platform = platform
        self._table = table
        self._key = key
        self._wait = wait
        self._on_duty = on_duty
        self._known: int | None = None
        self._watch: asyncio.Future[Rows] | None = None

    @property
    def known(self) -> int:
        """Version of the store up to which the row is known; 0 at first."""
        return self._known or 0

    async def next(self) -> Rows | None:
        """Wait for a change; None if the watch was overtaken or is others' duty.

        Raises
        ======

        PlatformDownError
            If the store does not answer.
        """
        if self._known is None:
            return self._take(await self._scan())
        if not self._on_duty():
            await asyncio.sleep(_DUTY_LOOK)
            return None
        self._watch = asyncio.ensure_future(
            self._platform.watch(self._table, self._known, self._wait)
        )
        try:
            await asyncio.wait((self._watch,))
            if self._watch.cancelled():
                return None
            return self._take(self._watch.result())
        except HistoryLostError:
            return self._take(await self._scan())
        finally:
            self._watch.cancel()

    async def look(self) -> Rows:
        """Return what has changed up to now.

        Raises
        ======

        PlatformDownError
            If the store does not answer.
        """
        if self._known is None:
            return self._take(await self._scan())
        try:
            return self._take(await self._platform.changes(self._table, self._known))
        except HistoryLostError:
            return self._take(await self._scan())

    def overtaken(self) -> None:
        """Make the watch anew: news came by another way before it told."""
        if self._watch is not None:
            self._watch.cancel()

    async def _scan(self) -> Rows:
        return await self._platform.scan(self._table, self._key)

    def _take(self, rows: Rows) -> Rows:
        self._known = max(self.known, rows.version)
        return rows
