"""Interface to the reports of the admin port that include other nodes."""

from abc import ABC, abstractmethod


class FleetSource(ABC):
    """Builds reports that include other nodes."""

    @abstractmethod
    async def revisions(self) -> dict:
        """Return the rules revision that is in force at each node."""

    @abstractmethod
    async def burn(self) -> dict:
        """Return the totals of all nodes for the error budget burn report."""
