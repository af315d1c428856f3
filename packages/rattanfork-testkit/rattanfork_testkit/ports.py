"""Ports of loopback for processes that are stopped and started again."""

import socket


class FreePorts:
    """Ports that are kept for their processes as long as this object lives.

    Explanation
    ===========

    A port that was only found free goes to anyone while its process is down: to
    an outgoing connection, or to a second run of the tests.  The successor of a
    killed process then could not listen, once in some dozens of runs beside
    load.  So each port stays bound here, shared with listeners (who set
    ``SO_REUSEADDR``) and closed to outgoing connections and to other probes.

    Examples
    ========

    >>> ports = FreePorts()
    >>> ports.reserve() != ports.reserve()
    True
    """

    def __init__(self) -> None:
        self._kept: list[socket.socket] = []

    def reserve(self) -> int:
        """Return a port, for TCP and UDP, not given out before."""
        while True:
            keeper = socket.socket()
            keeper.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            keeper.bind(("127.0.0.1", 0))
            self._kept.append(keeper)
            port = keeper.getsockname()[1]
            if _is_free_for_datagrams(port):
                return port


def _is_free_for_datagrams(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
