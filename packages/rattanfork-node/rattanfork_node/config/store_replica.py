"""Interface of the data that a node replicates from the store."""

from abc import ABC, abstractmethod


class StoreReplica(ABC):
    """Local copy of data whose authoritative version is in the store."""

    @property
    @abstractmethod
    def outdated(self) -> bool:
        """Whether another node holds a newer version."""

    @abstractmethod
    async def refresh(self, store_version: int) -> int:
        """Poll the store and apply a newer version.

        Parameters
        ==========

        store_version : int
            Version that the store is known to have reached, or 0 if it has not
            been polled yet.  A replica that has already seen this version skips
            its own call.

        Returns
        =======

        int
            Version that the store is now known to have reached.

        Raises
        ======

        PlatformDownError
            If the store does not answer.
        """
