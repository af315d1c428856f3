"""Division of a node's memory among all that it holds for callers."""

from rattanfork_core.memory.plan import MemoryPlan
from rattanfork_core.memory.room import MemoryRoom

__all__ = ["MemoryPlan", "MemoryRoom"]
