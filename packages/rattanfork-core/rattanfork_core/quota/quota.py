"""The interface of quotas."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum

from rattanfork_core.client_accounts import ClientAccount


class QuotaDecision(Enum):
    """What a quota says to a request."""

    #: It is within the limit.
    GRANTED = "granted"
    #: The account's limit is reached.
    EXHAUSTED = "exhausted"
    #: No issuer of tokens was reached.
    UNREACHABLE = "unreachable"


#: Gets the verdict, and the seconds after which a refused caller should come back.
DecisionCallback = Callable[[QuotaDecision, float], None]


class Quota(ABC):
    """Holds the requests of accounts to their limits, over all nodes together."""

    @abstractmethod
    def take(self, account: ClientAccount, decided: DecisionCallback) -> None:
        """Ask for one request to be let in; ``decided`` is called once."""

    @abstractmethod
    def refund(self, account: ClientAccount, granted_at: float) -> None:
        """Take note that a request that was let in has not run and never will.

        Parameters
        ==========

        account : ClientAccount
            The account.
        granted_at : float
            When the request was let in, in seconds of the clock.
        """

    @abstractmethod
    def tick(self) -> None:
        """Carry on; call several times a second."""
