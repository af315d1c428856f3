"""Interface of quotas, which decide on requests before they are forwarded."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from enum import Enum

from rattanfork_core.client_accounts import ClientAccount


class QuotaDecision(Enum):
    """Decision of a quota on a request."""

    #: The request is within the account's limit.
    GRANTED = "granted"
    #: The account's limit is reached.
    EXHAUSTED = "exhausted"
    #: No issuer of tokens could be reached.
    UNREACHABLE = "unreachable"


#: Receives the decision, and the seconds after which a refused caller should retry.
DecisionCallback = Callable[[QuotaDecision, float], None]


class Quota(ABC):
    """Limits the request rates of client accounts, summed over all nodes."""

    @abstractmethod
    def take(self, account: ClientAccount, decided: DecisionCallback) -> None:
        """Decide on a request; ``decided`` is called once, immediately or later."""

    @abstractmethod
    def refund(self, account: ClientAccount, granted_at: float) -> None:
        """Return the token of a granted request that did not run and never will.

        Parameters
        ==========

        account : ClientAccount
            The account.
        granted_at : float
            When the request was granted, in seconds of the clock.
        """

    @abstractmethod
    def tick(self) -> None:
        """Handle timeouts; has to be called several times a second."""
