"""What one incarnation of an upstream has advertised, as nodes tell each other."""

from typing import NamedTuple

#: Rate limit of a report on an upstream that advertises none.
NO_LIMIT = -1.0


class UpstreamReport(NamedTuple):
    """What one incarnation of an upstream has advertised.

    Parameters
    ==========

    upstream : str
        ID of the incarnation.
    born : int
        Its start in Unix milliseconds of its own clock; 0 if unknown.
    rate_limit : float
        Its rate limit in requests per second; negative if it advertises none.
    leaving : bool
        Whether it leaves.
    """

    upstream: str
    born: int
    rate_limit: float = NO_LIMIT
    leaving: bool = False

    def is_about(self, upstream: str, born: int) -> bool:
        """Return whether this is about an incarnation.

        Start times are compared only if both are known: an ID may be used again.
        """
        if self.upstream != upstream:
            return False
        return not self.born or not born or self.born == born
