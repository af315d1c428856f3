"""Result of a failed check."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """Observed violation of one of the product's promises.

    Explanation
    ===========

    The promises are, by their short names:

    - ``twice``: a non-idempotent request runs at most once.
    - ``refused``: a request whose status says that it did not run, did not run.
    - ``mixed``: a response is complete and the one of the worker that ran the request.
    - ``unasked``: workers get only requests that were sent, unaltered, with the
      client account and without the key.
    - ``lost``: a draining node responds to requests that a worker has run.
    - ``drain``: no request arrives at a worker after its draining was acknowledged.
    - ``budget``: a request that crashes workers is quarantined.
    - ``revoked`` and ``denied``: a revoked key is rejected, a valid key accepted.
    - ``configuration``: a change comes into force in time and is not reverted.
    - ``time`` and ``recovery``: responses come in time, and service recovers after
      faults.
    - ``process``: no node exits unless it is stopped.

    Parameters
    ==========

    promise : str
        Short name of the promise that was violated.
    at : float
        Seconds from the start of the soak.
    text : str
        What was observed, naming the nodes, requests or versions concerned.
    """

    invariant: str
    at: float
    text: str

    def __str__(self) -> str:
        return f"{self.at:7.2f} s  {self.invariant}: {self.text}"
