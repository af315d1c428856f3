"""State machine of one large request body, from its head to its last byte."""

from collections.abc import Callable
from enum import IntEnum

from rattanfork_core.request.outcome import Reason
from rattanfork_core.uploads.body_budget import BodyBudget, Reservation

#: Size above which the body of an upload is decided on before it is read, in bytes.
LARGE_BODY_BYTES = 16 << 10
#: Size above which the body of any request is, in bytes.
MAX_UNCOUNTED_BODY_BYTES = 64 << 10
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
    """State of a large request body."""

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
    """Decides when one large body may be read, and when its request is refused.

    Explanation
    ===========

    The driver reports what arrives; a method returns the reason for which the request
    is to be refused, or ``Reason.NONE``.  In each case of a refusal the body has
    reached no upstream.

    A body of unknown length grows in steps.  If there is no room for a step, or the
    body becomes one of the largest, it waits for as much room as any body may take:
    two bodies that each hold a part can't wait for the rest of each other then.

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
        "_budget",
        "_declared",
        "_max_bytes",
        "_on_readable",
        "_outgrown",
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
        self._max_bytes = max_bytes
        self._budget = budget
        self._reservation = budget.open()
        #: What a body of unknown length holds while it waits for more; None otherwise.
        self._outgrown: Reservation | None = None
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
        if (self._declared or 0) > self._budget.max_body_bytes:
            return Reason.NO_BODY_ROOM
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
        elif reservation.is_large:
            fits = False
        elif self.received > self._max_grown:
            fits = self._outgrow()
        else:
            size = max(self.received, reservation.size + self.step)
            fits = reservation.grow(size) or self._outgrow()
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
        self._release_outgrown()

    def release(self) -> None:
        """Return the bytes of a body to the budget that is no longer held."""
        self._reservation.release()

    def _on_granted(self) -> None:
        self.state = IntakeState.READING
        self._release_outgrown()
        if self.has_ended:
            self._complete()
        self._on_readable()

    @property
    def _max_grown(self) -> int:
        return min(self._budget.max_grown_bytes, self._budget.max_body_bytes)

    def _outgrow(self) -> bool:
        """Wait for room among the largest bodies; return whether there may be any."""
        size = min(self._max_bytes, self._budget.large_room)
        if self.received > size or self._declared is not None:
            return False
        self._outgrown, self._reservation = self._reservation, self._budget.open()
        self.state = IntakeState.WAITING
        self._reservation.request(size, self._on_granted, is_large=True)
        return True

    def _release_outgrown(self) -> None:
        if self._outgrown is not None:
            self._outgrown.release()
            self._outgrown = None

    def _complete(self) -> None:
        self.state = IntakeState.COMPLETE
        self._reservation.shrink(self.received)
