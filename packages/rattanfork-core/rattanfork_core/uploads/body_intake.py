"""State machine of the body of one upload, from its head to its last byte."""

from collections.abc import Callable
from enum import IntEnum

from rattanfork_core.request.outcome import Reason
from rattanfork_core.uploads.body_budget import BodyBudget

#: Size above which a body is decided on before it is read, in bytes.
LARGE_BODY_BYTES = 16 << 10
#: Bytes reserved at a time for a body of unknown length.  Bodies of the known
#: deployments have at most 360 KB, so that they fit into one step.
_STEP_BYTES = 512 << 10
_MIN_LARGE_DIGITS = len(str(LARGE_BODY_BYTES))


def is_large_body(content_length: bytes) -> bool:
    """Return whether a Content-Length declares a large body.

    Malformed values are left to the parser.

    Examples
    ========

    >>> [is_large_body(value) for value in (b"16384", b"16385", b"7", b"many-x")]
    [False, True, False, False]
    """
    # Most bodies are small and are told apart by their number of digits.
    return (
        len(content_length) >= _MIN_LARGE_DIGITS
        and content_length.isdigit()
        and int(content_length) > LARGE_BODY_BYTES
    )


class IntakeState(IntEnum):
    """State of the body of an upload."""

    #: The request is being decided on from its head.
    DECIDING = 0
    #: Accepted; waits for room in the budget.
    WAITING = 1
    READING = 2
    #: Received whole; the request may be forwarded.
    COMPLETE = 3
    #: Refused or abandoned; what still arrives is discarded.
    DISCARDED = 4


class BodyIntake:
    """Decides when the body of one upload may be read, and when it is refused.

    Explanation
    ===========

    The driver reports what arrives; a method returns the reason for which the upload
    is to be refused, or ``Reason.NONE``.  In each case of a refusal the body has
    reached no upstream.

    Parameters
    ==========

    budget : BodyBudget
        Budget of the node for bodies.
    declared : int or None
        Content-Length of the request; None if the length is unknown.
    max_bytes : int
        Maximum size of a body.

    Examples
    ========

    >>> intake = BodyIntake(BodyBudget(1 << 20), 20_000, 1 << 20)
    >>> intake.admit(lambda: print("may be read"))
    may be read
    <Reason.NONE: 0>
    >>> intake.on_bytes(20_000), intake.on_end()
    (<Reason.NONE: 0>, <Reason.NONE: 0>)
    >>> intake.state
    <IntakeState.COMPLETE: 3>
    """

    __slots__ = (
        "_declared",
        "_max_bytes",
        "_on_readable",
        "_reservation",
        "has_ended",
        "received",
        "state",
        "step",
    )

    def __init__(
        self, budget: BodyBudget, declared: int | None, max_bytes: int
    ) -> None:
        self._declared = declared
        self._max_bytes = min(max_bytes, budget.max_body_bytes)
        self._reservation = budget.open()
        self._on_readable: Callable[[], None] | None = None
        self.state = IntakeState.DECIDING
        #: Bytes of the body received so far, without discarded ones.
        self.received = 0
        #: Whether the last byte of the body has arrived.
        self.has_ended = False
        #: Bytes by which the reservation of a body of unknown length grows.
        self.step = min(_STEP_BYTES, budget.share)

    @property
    def declared(self) -> int | None:
        """Content-Length of the request; None if the length is unknown."""
        return self._declared

    @property
    def is_paused(self) -> bool:
        """Whether reading from the client has to pause."""
        return self.state <= IntakeState.WAITING and not self.has_ended

    def admit(self, on_readable: Callable[[], None]) -> Reason:
        """Accept the request: read its body once there is room.

        Parameters
        ==========

        on_readable : callable
            Called once the body may be read.
        """
        if (self._declared or 0) > self._max_bytes:
            return Reason.TOO_LARGE
        self._on_readable = on_readable
        self.state = IntakeState.WAITING
        size = self.step if self._declared is None else self._declared
        self._reservation.request(max(size, self.received), self._on_granted)
        return Reason.NONE

    def on_bytes(self, count: int) -> Reason:
        """Account for received bytes of the body."""
        if self.state is IntakeState.DISCARDED:
            return Reason.NONE
        self.received += count
        if self.received > self._max_bytes:
            return Reason.TOO_LARGE
        reservation = self._reservation
        if self.state is not IntakeState.READING:
            fits = reservation.charge_early(count)
        elif self.received <= reservation.size:
            return Reason.NONE
        else:
            size = max(self.received, reservation.size + self.step)
            fits = reservation.grow(size)
        return Reason.NONE if fits else Reason.NO_BODY_ROOM

    def on_end(self) -> Reason:
        """Handle the end of the body."""
        self.has_ended = True
        if self.state is IntakeState.DISCARDED:
            return Reason.NONE
        if self._declared is not None and self.received != self._declared:
            return Reason.BODY_INCOMPLETE
        if self.state is IntakeState.READING:
            self._complete()
        return Reason.NONE

    def on_timeout(self) -> Reason:
        """Return the reason for refusing an upload whose time is over."""
        if self.state is IntakeState.READING:
            return Reason.BODY_TIMEOUT
        return Reason.NO_BODY_ROOM

    def discard(self) -> None:
        """Refuse or abandon the upload, and return its bytes to the budget."""
        self.state = IntakeState.DISCARDED
        self._on_readable = None
        self._reservation.release()

    def release(self) -> None:
        """Return the bytes of a body to the budget that is no longer held."""
        self._reservation.release()

    def _on_granted(self) -> None:
        self.state = IntakeState.READING
        on_readable, self._on_readable = self._on_readable, None
        if self.has_ended:
            self._complete()
        on_readable()

    def _complete(self) -> None:
        self.state = IntakeState.COMPLETE
        self._reservation.shrink(self.received)
