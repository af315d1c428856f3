"""Accepted connections whose peers have not proved yet that they are nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rattanfork_core.clock import Clock

if TYPE_CHECKING:
    from rattanfork_node.peer.link import PeerLink

#: Seconds within which a peer has to complete the handshake.
_TIMEOUT_S = 3.0
#: Maximum number of handshakes at a time.
_MAX_PENDING = 256


class PendingHandshakes:
    """Bounds number and duration of the handshakes with connecting peers.

    Parameters
    ==========

    clock : Clock
        Source of the current time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        #: Time at which each handshake began, oldest first.
        self._began: dict[PeerLink, float] = {}

    @property
    def count(self) -> int:
        """Number of handshakes that are pending, or were at the last sweep."""
        return len(self._began)

    def add(self, link: PeerLink) -> None:
        """Expect the handshake of an accepted connection."""
        self._began[link] = self._clock.now()
        if len(self._began) > _MAX_PENDING:
            self.sweep()
        if len(self._began) > _MAX_PENDING:
            self._close(next(iter(self._began)))

    def sweep(self) -> None:
        """Close connections without a handshake in time; call about twice a second."""
        overdue = self._clock.now() - _TIMEOUT_S
        for link, began in list(self._began.items()):
            if link.usable or link.closed:
                del self._began[link]
            elif began < overdue:
                self._close(link)

    def _close(self, link: PeerLink) -> None:
        del self._began[link]
        link.close("the handshake was not completed in time")
