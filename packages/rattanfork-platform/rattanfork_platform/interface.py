"""What the system needs of the platform."""

from abc import ABC, abstractmethod
from collections import Counter
from dataclasses import dataclass


class HistoryLostError(LookupError):
    """The changes since the version asked for are no longer kept."""


class PlatformDownError(ConnectionError):
    """The platform did not answer; a write may or may not have taken effect."""


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table; version 0 stands for a row that is not there."""

    version: int
    value: object


@dataclass(frozen=True, slots=True)
class Rows:
    """Rows of a table, and the version of the whole store they are as of.

    Parameters
    ==========

    rows : dict
        Rows by key, with their values as bytes; None stands for a row that
        was removed.
    version : int
        From where to watch on.  It grows for as long as the platform's client lives,
        also when the platform comes back from an older copy.
    """

    rows: dict[str, Row | None]
    version: int


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A call to the platform that has no answer so far.

    Parameters
    ==========

    call : str
        Its kind.
    elapsed : float
        Seconds since it was made.
    idle_before : float or None
        Seconds for which its connection had been idle before; 0 for a new
        connection, None while it waits for one.
    """

    call: str
    elapsed: float
    idle_before: float | None


class Platform(ABC):
    """The transactional table service and the object store.

    Explanation
    ===========

    A transaction checks the versions of some rows and writes others, all or
    nothing.  It is the only way anything is agreed upon.
    """

    @property
    def era(self) -> int:
        """Grows by one when the platform is restored from a copy; 0 while unknown."""
        return 0

    @abstractmethod
    async def read(self, key: str) -> Row:
        """Return a row.

        Raises
        ======

        PlatformDownError
            If there is no answer.
        """

    @abstractmethod
    async def transact(self, checks: dict[str, int], writes: dict[str, object]) -> bool:
        """Write if all checked versions hold; return whether it was written.

        Raises
        ======

        PlatformDownError
            If there is no answer.  The write may have taken effect.
        """

    @abstractmethod
    async def close(self) -> None:
        """Let go of connections."""


class WatchedPlatform(Platform):
    """A platform whose tables can be listed and watched."""

    @property
    @abstractmethod
    def call_counts(self) -> Counter[tuple[str, str]]:
        """Calls made so far, by kind and result."""

    @property
    @abstractmethod
    def pending(self) -> tuple[PendingCall, ...]:
        """Calls without an answer so far, the oldest first."""

    @property
    @abstractmethod
    def seconds_since_answer(self) -> float:
        """Seconds since the platform last answered anything, or since the start."""

    @abstractmethod
    async def scan(self, table: str, key: str = "") -> Rows:
        """Return all rows of a table, or only the one of a key.

        Raises
        ======

        PlatformDownError
            If there is no answer.
        """

    @abstractmethod
    async def watch(self, table: str, after: int, wait: float) -> Rows:
        """Return the changes after a version, waiting for the first.

        Parameters
        ==========

        table : str
            The table.
        after : int
            The version that is known.
        wait : float
            Seconds after which an empty answer is given.

        Raises
        ======

        HistoryLostError
            If changes since ``after`` are no longer kept: scan again.
        PlatformDownError
            If there is no answer.
        """

    @abstractmethod
    async def changes(self, table: str, after: int) -> Rows:
        """Return the changes after a version that there are now, without waiting.

        Raises
        ======

        HistoryLostError
            If changes since ``after`` are no longer kept: scan again.
        PlatformDownError
            If there is no answer.
        """

    @abstractmethod
    async def remove(self, key: str) -> None:
        """Remove a row.

        Raises
        ======

        PlatformDownError
            If there is no answer.
        """
