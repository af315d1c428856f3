"""Commands of the request state machine, which its driver carries out."""

from dataclasses import dataclass

from rattanfork_core.request.result import CallResult


@dataclass(frozen=True, slots=True)
class SendCall:
    """Send the request to an instance, with a number of extra attempts to spend."""

    attempt: int
    instance: str
    delegated_attempts: int


@dataclass(frozen=True, slots=True)
class SendCancel:
    """Tell an instance to cancel an attempt."""

    attempt: int
    instance: str


@dataclass(frozen=True, slots=True)
class SendFence:
    """Ask an instance, over a new connection, to never run an attempt from now on."""

    attempt: int
    instance: str


@dataclass(frozen=True, slots=True)
class Finish:
    """Send the final result to the caller."""

    result: CallResult


Command = SendCall | SendCancel | SendFence | Finish
