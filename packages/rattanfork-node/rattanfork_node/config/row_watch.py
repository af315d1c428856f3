"""Change notification for one row of the store."""

import asyncio
from collections.abc import Callable

from rattanfork_platform import HistoryLostError, Rows, WatchedPlatform

#: Interval at which a node that does not watch checks whether it has to; meanwhile
#: polls by the readers find changes.
_ROLE_CHECK_INTERVAL_S = 1.0


def _always_watch() -> bool:
    return True


class RowWatch:
    """Follows one row by long polls and by explicit reads.

    Explanation
    ===========

    A watch reports a change at once but can fail silently: if the store drops the
    call, or the connection stalls, the watch blocks until its wait expires.  A
    caller that receives a change from another source therefore calls
    :meth:`restart`, which replaces the watch.

    A watch costs one call to the store for each change and each expired wait.  In a
    large fleet only a few nodes watch; the others read the row once at start-up and
    receive changes from peers.

    Parameters
    ==========

    platform : WatchedPlatform
        The store.
    table, key : str
        Row to follow.
    wait_s : float
        Longest wait of one watch, in seconds.
    is_watcher : callable
        Returns whether this node currently watches the store.
    """

    def __init__(
        self,
        platform: WatchedPlatform,
        table: str,
        key: str,
        wait_s: float,
        is_watcher: Callable[[], bool] = _always_watch,
    ) -> None:
        self._platform = platform
        self._table = table
        self._key = key
        self._wait_s = wait_s
        self._is_watcher = is_watcher
        self._known_version: int | None = None
        self._watch: asyncio.Future[Rows] | None = None

    @property
    def known_version(self) -> int:
        """Store version up to which this row is known, or 0 before the first read."""
        return self._known_version or 0

    async def next_change(self) -> Rows | None:
        """Wait for a change; None if the watch was restarted or other nodes watch.

        Raises
        ======

        PlatformDownError
            If the store does not answer.
        """
        if self._known_version is None:
            return self._record_version(await self._scan())
        if not self._is_watcher():
            await asyncio.sleep(_ROLE_CHECK_INTERVAL_S)
            return None
        self._watch = asyncio.ensure_future(
            self._platform.watch(self._table, self._known_version, self._wait_s)
        )
        try:
            await asyncio.wait((self._watch,))
            if self._watch.cancelled():
                return None
            return self._record_version(self._watch.result())
        except HistoryLostError:
            return self._record_version(await self._scan())
        finally:
            self._watch.cancel()

    async def poll(self) -> Rows:
        """Read the changes since the last known version.

        Raises
        ======

        PlatformDownError
            If the store does not answer.
        """
        if self._known_version is None:
            return self._record_version(await self._scan())
        try:
            return self._record_version(
                await self._platform.changes(self._table, self._known_version)
            )
        except HistoryLostError:
            return self._record_version(await self._scan())

    def restart(self) -> None:
        """Replace a pending watch after a change that it did not report."""
        if self._watch is not None:
            self._watch.cancel()

    async def _scan(self) -> Rows:
        return await self._platform.scan(self._table, self._key)

    def _record_version(self, rows: Rows) -> Rows:
        self._known_version = max(self.known_version, rows.version)
        return rows
