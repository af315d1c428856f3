"""What is kept up to date from the store."""

from abc import ABC, abstractmethod


class Follower(ABC):
    """Something that a node holds a copy of, and the store the newest of."""

    @property
    @abstractmethod
    def behind(self) -> bool:
        """Whether another node holds something newer."""

    @abstractmethod
    async def look(self, store_version: int) -> int:
        """Ask the store whether it holds something newer; take it if so.

        Parameters
        ==========

        store_version : int
            Version that the store is known to have reached; 0 if nobody has asked
            yet.  Whoever knows the store up to there need not ask.

        Returns
        =======

        int
            Version that the store is now known to have reached.

        Raises
        ======

        PlatformDownError
            If the store does not answer.
        """
