"""Abstract platform clients: versioned rows with transactions, listing and watches."""

from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass


class HistoryLostError(LookupError):
    """The platform no longer has the changes since the requested version."""


class PlatformDownError(ConnectionError):
    """A call failed or timed out; a write may or may not have taken effect."""


@dataclass(frozen=True, slots=True)
class Row:
    """A row of a table; version 0 means that the row does not exist."""

    version: int
    value: object


@dataclass(frozen=True, slots=True)
class Rows:
    """Rows of a table, and the position in the platform's history they were read at.

    Parameters
    ==========

    rows : dict
        Rows by key, with their values as bytes; None marks a deleted row.
    version : int
        Position from which the next watch continues.  It never decreases during the
        life of a client, even if the platform is restored from an older backup.
    """

    rows: dict[str, Row | None]
    version: int


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call to the platform that is still waiting for its response.

    Parameters
    ==========

    call : str
        Name of the operation.
    elapsed : float
        Seconds since it was made.
    idle_before : float or None
        Seconds for which its connection was idle before the call; 0 for a new
        connection, None while no connection is assigned.
    """

    call: str
    elapsed: float
    idle_before: float | None


class Platform(ABC):
    """Client of the transactional table service.

    Explanation
    ===========

    A transaction compares the versions of some rows and atomically writes others
    (compare-and-set).  Nodes have no consensus protocol of their own: what they must
    agree on is decided by such a transaction.
    """

    @property
    def era(self) -> int:
        """Number that increases with each restore from a backup; 0 while unknown."""
        return 0

    @abstractmethod
    async def read(self, key: str) -> Row:
        """Return a row.

        Raises
        ======

        PlatformDownError
            If the call fails or times out.
        """

    @abstractmethod
    async def transact(self, checks: dict[str, int], writes: dict[str, object]) -> bool:
        """Write if every checked row has its expected version; return whether it did.

        Raises
        ======

        PlatformDownError
            If the call fails or times out.  The write may have taken effect.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""


class WatchedPlatform(Platform):
    """A platform whose tables can be listed and watched."""

    @property
    @abstractmethod
    def call_counts(self) -> Counter[tuple[str, str]]:
        """Calls made so far, by operation and result."""

    @property
    @abstractmethod
    def pending(self) -> tuple[PendingCall, ...]:
        """Calls that are waiting for a response, oldest first."""

    @property
    @abstractmethod
    def seconds_since_answer(self) -> float:
        """Seconds since the last response to any call, or since the client started."""

    @abstractmethod
    async def scan(self, table: str, key: str = "") -> Rows:
        """Return all rows of a table, or only the row of ``key`` if it is given.

        Raises
        ======

        PlatformDownError
            If the call fails or times out.
        """

    @abstractmethod
    async def watch(self, table: str, after: int, wait: float) -> Rows:
        """Return the changes after a version; wait for the first one (long poll).

        Parameters
        ==========

        table : str
            Name of the table.
        after : int
            Version that the caller has already seen.
        wait : float
            Seconds after which the call returns without any change.

        Raises
        ======

        HistoryLostError
            If the changes since ``after`` are not available any more: scan again.
        PlatformDownError
            If the call fails or times out.
        """

    @abstractmethod
    async def changes(self, table: str, after: int) -> Rows:
        """Return the changes after a version that exist now, without waiting.

        Raises
        ======

        HistoryLostError
            If the changes since ``after`` are not available any more: scan again.
        PlatformDownError
            If the call fails or times out.
        """

    @abstractmethod
    async def remove(self, key: str) -> None:
        """Remove a row.

        Raises
        ======

        PlatformDownError
            If the call fails or times out.
        """
