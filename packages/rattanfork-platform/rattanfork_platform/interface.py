"""What the system needs of the platform."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


class PlatformDownError(ConnectionError):
    """The platform did not answer; a write may or may not have taken effect."""


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table; version 0 stands for a row that is not there."""

    version: int
    value: object


class Platform(ABC):
    """The transactional table service and the object store.

    Explanation
    ===========

    A transaction checks the versions of some rows and writes others, all or
    nothing.  It is the only way anything is agreed upon.
    """

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
