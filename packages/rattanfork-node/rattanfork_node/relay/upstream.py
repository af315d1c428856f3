"""Route path: the upstream beside a node, as it announced itself."""

from typing import NamedTuple


class Upstream(NamedTuple):
    """An incarnation of an upstream, as it announced itself to its node.

    Parameters
    ==========

    name : str
        ID of the incarnation.
    host : str
        Its host address.
    port : int
        Its TCP port.
    slots : int
        Requests that it can run concurrently.
    born : int
        Its start time, in Unix milliseconds of its own clock; 0 while unknown.
    """

    name: str
    host: str
    port: int
    slots: int
    born: int = 0

    def is_same_incarnation(self, known: "Upstream") -> bool:
        """Return whether this and a known announcement are of one incarnation."""
        if self.name != known.name:
            return False
        return not self.born or not known.born or self.born == known.born
