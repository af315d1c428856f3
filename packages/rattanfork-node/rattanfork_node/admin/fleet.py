"""What the admin port tells of other nodes."""

from abc import ABC, abstractmethod


class FleetSource(ABC):
    """Answers that need other nodes' word."""

    @abstractmethod
    async def revisions(self) -> dict:
        """Return which revision is in force where."""

    @abstractmethod
    async def burn(self) -> dict:
        """Return the totals of the burn report."""
