"""Load balancing: choice of the instance that a call is sent to."""

from rattanfork_core.routing.instance import InstanceState
from rattanfork_core.routing.picker import InstancePicker
from rattanfork_core.routing.subset import choose_subset

__all__ = ["InstancePicker", "InstanceState", "choose_subset"]
