"""Messages between nodes about upstreams that have stated that they leave."""

from typing import NamedTuple


class RetirementsRequest(NamedTuple):
    """Requests all retirements that the receiver knows."""

    number: int


class RetirementsReply(NamedTuple):
    """The retirements that a node knows.

    ``complete`` is false while the node itself has neither read the store nor got them
    from a node that has.  ``retirements`` are the fields of each.
    """

    number: int
    complete: bool
    retirements: list


class PersistRequest(NamedTuple):
    """Asks the receiver to write a retirement to the store.

    It is sent by a node that the store does not answer.
    """

    number: int
    instance: str
    upstream: str
    born: int


class PersistReply(NamedTuple):
    """States whether the store holds the retirement."""

    number: int
    stored: bool
