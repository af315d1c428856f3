"""Requests of one connection between nodes that wait for their replies."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from rattanfork_node.peer.errors import LinkLostError
from rattanfork_node.peer.messages import Message, RunReply


@dataclass(frozen=True, slots=True)
class LateReply:
    """Reply to a run that came after its connection was silent.

    Parameters
    ==========

    reply : RunReply
        The reply.
    body : list of bytes or None
        Its body, if it came in parts.
    """

    reply: RunReply
    body: list[bytes] | None


class PendingReplies:
    """Matches the replies on one connection to the requests that wait for them.

    Explanation
    ===========

    Requests have a number that is local to the connection.  A reply that matches no
    pending request is dropped and counted.  Runs that failed because the peer was
    silent may be kept: their replies can still come.
    """

    def __init__(self) -> None:
        self._futures: dict[int, asyncio.Future] = {}
        self._run_callbacks: dict[int, Callable[[RunReply | None], None]] = {}
        #: Futures of replies that a silent peer may still send, by number.
        self._kept: dict[int, asyncio.Future[LateReply | None]] = {}
        self._dropped = 0

    def __bool__(self) -> bool:
        """Return whether a request waits that has not failed."""
        return bool(self._futures or self._run_callbacks)

    @property
    def runs(self) -> int:
        """Number of runs that wait for their replies."""
        return len(self._run_callbacks)

    @property
    def dropped(self) -> int:
        """Number of replies dropped because no request was pending for them."""
        return self._dropped

    @property
    def has_kept(self) -> bool:
        """Whether a reply that a silent peer may still send is waited for."""
        self._kept = {n: f for n, f in self._kept.items() if not f.done()}
        return bool(self._kept)

    def expects_run(self, number: int) -> bool:
        """Return whether the reply to a run is waited for, also as a late one."""
        return number in self._run_callbacks or number in self._kept

    def add(self, number: int) -> asyncio.Future:
        """Return the future of the reply to a request."""
        future = asyncio.get_running_loop().create_future()
        self._futures[number] = future
        return future

    def add_run(self, number: int, done: Callable[[RunReply | None], None]) -> None:
        """Set what is called with the reply to a run, or with None if it fails."""
        self._run_callbacks[number] = done

    def keep(self, number: int) -> asyncio.Future[LateReply | None]:
        """Return the future of a late reply to a run that has failed."""
        future = asyncio.get_running_loop().create_future()
        self._kept[number] = future
        return future

    def forget(self, number: int) -> None:
        """Remove a request; its reply is dropped."""
        kept = self._kept.pop(number, None)
        if kept is not None and not kept.done():
            kept.set_result(None)
        self._futures.pop(number, None)
        self._run_callbacks.pop(number, None)

    def resolve(self, reply: Message) -> None:
        """Pass on the reply to a request other than a run."""
        future = self._futures.pop(reply.number, None)
        if future is None or future.done():
            self._dropped += 1
        else:
            future.set_result(reply)

    def resolve_run(
        self, reply: RunReply, take_body: Callable[[], list[bytes] | None]
    ) -> None:
        """Pass on the reply to a run; ``take_body`` returns a body in parts."""
        done = self._run_callbacks.pop(reply.number, None)
        if done is not None:
            done(reply)
            return
        kept = self._kept.pop(reply.number, None)
        if kept is None or kept.done():
            self._dropped += 1
        else:
            kept.set_result(LateReply(reply, take_body()))

    def fail(self, reason: str) -> None:
        """Fail all requests; late replies to runs may still be kept."""
        futures, self._futures = self._futures, {}
        for future in futures.values():
            if not future.done():
                future.set_exception(LinkLostError(reason))
        run_callbacks, self._run_callbacks = self._run_callbacks, {}
        for done in run_callbacks.values():
            done(None)

    def close(self, reason: str) -> None:
        """Fail all requests, and end the wait for late replies."""
        kept, self._kept = self._kept, {}
        for future in kept.values():
            if not future.done():
                future.set_result(None)
        self.fail(reason)
