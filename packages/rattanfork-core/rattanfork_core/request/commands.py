"""What a request machine asks its driver to do."""

from dataclasses import dataclass

from rattanfork_core.request.result import CallResult


@dataclass(frozen=True, slots=True)
class SendCall:
    """Send the request to an instance, lending it some extra attempts."""

    attempt: int
    instance: str
    lent_attempts: int


@dataclass(frozen=True, slots=True)
class SendCancel:
    """Tell an instance that its attempt is no longer wanted."""

    attempt: int
    instance: str


@dataclass(frozen=True, slots=True)
class SendFence:
    """Ask an instance, over a new connection, to refuse an attempt for good."""

    attempt: int
    instance: str


@dataclass(frozen=True, slots=True)
class Finish:
    """Give the caller its final answer."""

    result: CallResult


Command = SendCall | SendCancel | SendFence | Finish
