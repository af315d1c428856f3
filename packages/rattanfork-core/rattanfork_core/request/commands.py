"""Commands of the request state machine, which its driver carries out."""

from dataclasses import dataclass

from rattanfork_core.request.result import CallResult


@dataclass(frozen=True, slots=True)
class SendCall:
    """Send the request to an instance, with extra attempts for downstream calls."""

    attempt: int
    instance: str
    delegated_attempts: int


@dataclass(frozen=True, slots=True)
class SendCancel:
    """Send an instance the cancellation of an attempt."""

    attempt: int
    instance: str


@dataclass(frozen=True, slots=True)
class SendFence:
    """Send a fence over a new connection: the instance must not run the attempt."""

    attempt: int
    instance: str


@dataclass(frozen=True, slots=True)
class Finish:
    """Send the final result to the caller."""

    result: CallResult


Command = SendCall | SendCancel | SendFence | Finish
