"""Reservation of loopback ports for processes that tests restart."""

import socket


class FreePorts:
    """Reserves ports for processes, for the lifetime of this object.

    Explanation
    ===========

    A port that is free when probed can be taken while its process is down: by an
    outgoing connection or by another test run.  A restarted process then fails
    to listen; this happened once in some dozens of runs on a loaded machine.
    Therefore each port stays bound here.  Listeners set ``SO_REUSEADDR`` and can
    still use it; outgoing connections and other probes for a port cannot.

    Examples
    ========

    >>> ports = FreePorts()
    >>> ports.reserve() != ports.reserve()
    True
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port for TCP and UDP that was not reserved before."""
        while True:
            holder = socket.socket()
            holder.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            holder.bind(("127.0.0.1", 0))
            self._sockets.append(holder)
            port = holder.getsockname()[1]
            if _is_free_for_datagrams(port):
                return port


def _is_free_for_datagrams(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
