"""A randomized soak: real nodes as processes, and faults from outside them."""

from rattanfork_soak.finding import Finding
from rattanfork_soak.soak import Soak, SoakSettings

__all__ = ["Finding", "Soak", "SoakSettings"]
