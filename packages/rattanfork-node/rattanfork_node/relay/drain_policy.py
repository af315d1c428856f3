"""What a node still takes once it was told to stop."""

from rattanfork_core.clock import Clock
from rattanfork_core.routes import Route
from rattanfork_core.routing import InstancePicker

#: Times the usual latency of the slowest instance within which a request ends
#: but for some in a thousand, of what runs for about as long as others do.
_USUAL_TIMES = 4.0


class DrainPolicy:
    """Decides which requests a node takes that was told to stop.

    Explanation
    ===========

    Cut off when the node ends, a request may have run, and a posting can't be
    tried again; so what could last longer than the node is refused.  But
    callers go on sending until they notice that the node leaves, and what is
    refused comes back to the same node.  A route whose timeout is as long as
    the grace was shut to them for all that time, although its requests take a
    fraction of a second: 157 of 32,700 requests of a day on which three
    instances were taken away, and none since.  For as long as callers are
    served at any rate, what usually ends long before the node does is taken.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    ends_at : float
        When the node ends, in seconds of the clock.
    serves_until : float
        Until when callers are served at least.
    """

    def __init__(self, clock: Clock, ends_at: float, serves_until: float) -> None:
        self._clock = clock
        self._ends_at = ends_at
        self._serves_until = serves_until

    def accepts(self, route: Route, picker: InstancePicker) -> bool:
        """Return whether a caller's request of a route is still taken."""
        now = self._clock.now()
        left = self._ends_at - now
        if route.timeout <= left:
            return True
        usual = picker.slowest_latency
        return now <= self._serves_until and 0.0 < _USUAL_TIMES * usual <= left
