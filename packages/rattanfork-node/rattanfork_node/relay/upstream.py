"""The upstream beside a node, as it announced itself."""

from typing import NamedTuple


class Upstream(NamedTuple):
    """An upstream incarnation as it announced itself.

    Parameters
    ==========

    name : str
        ID of the incarnation.
    host : str
        Its address.
    port : int
        Its port.
    slots : int
        Requests that it runs at once.
    born : int
        When it started, in Unix milliseconds of its own clock; 0 while unsaid.
    """

    name: str
    host: str
    port: int
    slots: int
    born: int = 0

    def is_same_incarnation(self, known: "Upstream") -> bool:
        """Return whether this is the incarnation that is known already."""
        if self.name != known.name:
            return False
        return not self.born or not known.born or self.born == known.born
