"""Randomized soak test: node processes under load with injected faults.

Clients and workers record what they saw, and checks compare that with the invariants
of the product.
"""

from rattanfork_soak.soak import Soak, SoakSettings
from rattanfork_soak.violation import Violation

__all__ = ["Soak", "SoakSettings", "Violation"]
