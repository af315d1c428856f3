"""A large request body at the connection of its client."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from rattanfork_core.clock import Clock
from rattanfork_core.request import Reason
from rattanfork_core.uploads import BodyBudget, BodyIntake, IntakeState

from rattanfork_node.http1.request_body import (
    MAX_JOINED_BYTES,
    BodyBuffer,
    HeldBody,
)

if TYPE_CHECKING:
    from rattanfork_node.http1.exchange import Exchange
    from rattanfork_node.http1.upload_receiver import UploadReceiver


@dataclass(frozen=True, slots=True)
class UploadResources:
    """What the uploads of a server's clients share.

    Parameters
    ==========

    budget : BodyBudget
        Budget of the node for bodies.
    events : Counter
        Counts events as ``upload.<event>``.
    """

    budget: BodyBudget
    events: Counter[str]


class Upload:
    """A large request body that is read only once its request was accepted.

    Explanation
    ===========

    The request handler accepts the body with :meth:`read`; the connection reports
    what arrives and pauses reading while :attr:`is_paused`.

    Parameters
    ==========

    receiver : UploadReceiver
        Receives the uploads of the client's connection.
    exchange : Exchange
        The request; gets the body once it is complete.
    clock : Clock
        Source of the current time.
    resources : UploadResources
        Budget and counters.
    declared : int or None
        Content-Length of the request; None for a chunked body.
    max_bytes : int
        Maximum size of a body.
    wants_continue : bool
        Whether the client waits for ``100 Continue``.
    is_counted : bool
        Whether the body is too large to be read without a reservation, whatever the
        route.
    """

    __slots__ = (
        "_buffer",
        "_clock",
        "_events",
        "_granted_at",
        "_has_undelivered_end",
        "_intake",
        "_on_complete",
        "_receiver",
        "_timer",
        "began_at",
        "exchange",
        "is_counted",
        "on_refused",
        "wants_continue",
    )

    def __init__(
        self,
        receiver: UploadReceiver,
        exchange: Exchange,
        clock: Clock,
        resources: UploadResources,
        declared: int | None,
        max_bytes: int,
        wants_continue: bool,
        is_counted: bool,
    ) -> None:
        self._receiver = receiver
        self._clock = clock
        self._events = resources.events
        self._intake = BodyIntake(resources.budget, declared, max_bytes)
        self._buffer = BodyBuffer()
        self._on_complete: Callable[[], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._granted_at: float | None = None
        self._has_undelivered_end = False
        self.exchange = exchange
        self.wants_continue = wants_continue
        self.is_counted = is_counted
        #: Time at which the head was complete, in seconds of the clock.
        self.began_at = clock.now()
        #: Called with the reason if the body can't be read; has to respond.
        self.on_refused: Callable[[Reason], None] = _ignore

    @property
    def is_paused(self) -> bool:
        """Whether reading from the client has to pause."""
        return self._intake.is_paused

    @property
    def is_complete(self) -> bool:
        """Whether the body was received whole, and its request may be forwarded."""
        return self._intake.state is IntakeState.COMPLETE

    @property
    def log_fields(self) -> dict[str, object]:
        """State of the body for the request log; times are in milliseconds."""
        now = self._clock.now()
        granted_at = now if self._granted_at is None else self._granted_at
        return {
            "state": self._intake.state.name.lower(),
            "declared": self._intake.declared,
            "received": self._intake.received,
            "waited_ms": round((granted_at - self.began_at) * 1000, 1),
        }

    def read(self, seconds: float, on_complete: Callable[[], None]) -> None:
        """Accept the request: read its body as soon as there is room.

        Parameters
        ==========

        seconds : float
            Time within which the body has to be received.
        on_complete : callable
            Called once the body is in the exchange; otherwise :attr:`on_refused` is.
        """
        self._on_complete = on_complete
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(0.0, seconds), self._on_timeout)
        reason = self._intake.admit(self._on_readable)
        if reason is not Reason.NONE:
            self.refuse(reason)
        elif self._intake.state is IntakeState.WAITING:
            self._events["upload.waited"] += 1

    def refuse(self, reason: Reason) -> None:
        """Refuse the upload, unless it was answered."""
        if not self.exchange.answered:
            self.on_refused(reason)

    def on_bytes(self, data: bytes) -> None:
        """Add received bytes to the body, or discard them after a refusal."""
        self.wants_continue = False
        if self._intake.state is IntakeState.DISCARDED:
            return
        reason = self._intake.on_bytes(len(data))
        if reason is Reason.NONE:
            self._buffer.append(data)
        else:
            self.refuse(reason)

    def on_end(self) -> None:
        """Record the end of the body; :meth:`deliver` has to follow."""
        self._has_undelivered_end = True
        reason = self._intake.on_end()
        if reason is not Reason.NONE:
            self.refuse(reason)

    def deliver(self) -> None:
        """Pass on a body that has ended, or wait for room for it."""
        self._has_undelivered_end = False
        if self.is_complete:
            self._complete()

    def on_answered(self) -> None:
        """Discard the body after the final response, or after the client is gone."""
        if not self._intake.has_ended:
            # Where the next request begins is known only after the rest of the body.
            self.exchange.keep_alive = False
            self._receiver.drop_requests()
        self._discard()

    def on_disconnect(self) -> None:
        """Discard the body of a client that disconnected."""
        if not self._intake.has_ended:
            self._events["upload.disconnected"] += 1
        self._discard()

    def _on_readable(self) -> None:
        self._granted_at = self._clock.now()
        if not self.is_complete:
            self._receiver.continue_upload(self)
        elif not self._has_undelivered_end:
            self._complete()

    def _complete(self) -> None:
        self._cancel_timer()
        self._events["upload.read"] += 1
        is_large = self._buffer.size > MAX_JOINED_BYTES
        body = HeldBody(self._buffer.take_parts())
        if is_large:
            self.exchange.hold_large_body(body)
        else:
            self.exchange.body = body.join()
        on_complete, self._on_complete = self._on_complete, None
        on_complete()

    def _on_timeout(self) -> None:
        self._timer = None
        self.refuse(self._intake.on_timeout())

    def _discard(self) -> None:
        self._cancel_timer()
        self.wants_continue = False
        self._buffer.take_parts()
        if self.exchange.large_body is not None:
            self.exchange.large_body.discard()
        self._on_complete = None
        self.on_refused = _ignore
        self._intake.discard()

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


def _ignore(reason: Reason) -> None:
    pass
