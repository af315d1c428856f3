"""Accepted connections that never prove to be of a node."""

from rattanfork_core.clock import ManualClock

from rattanfork_node.peer import PendingHandshakes


class Link:
    """An accepted connection."""

    usable = closed = False

    def close(self, reason: str) -> None:
        self.closed = True


def test_connection_without_a_handshake_is_closed_in_time():
    """Guards against descriptors that connections between nodes never give back."""
    clock = ManualClock(100.0)
    handshakes = PendingHandshakes(clock)
    silent, peer = Link(), Link()
    for link in (silent, peer):
        handshakes.add(link)
    peer.usable = True
    clock.advance(5.0)
    handshakes.sweep()
    assert (silent.closed, peer.closed, handshakes.count) == (True, False, 0)


def test_oldest_handshake_gives_way_to_new_ones():
    """Guards against a crowd at the port between nodes that keeps nodes out."""
    handshakes = PendingHandshakes(ManualClock(100.0))
    links = [Link() for _ in range(300)]
    for link in links:
        handshakes.add(link)
    assert links[0].closed
    assert not links[-1].closed
    assert handshakes.count == 256
