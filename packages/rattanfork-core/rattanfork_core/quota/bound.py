"""What a quota may be exceeded by."""

from dataclasses import dataclass

from rattanfork_core.client_accounts import ClientAccount

#: Parts of the excess that random arrivals, tokens on their way, and an issuer that
#: starts may use; the rest is for nodes whose views of the fleet differ for a while.
_GRANTED_PART = 0.55
_LEASE_PART = 0.15
_START_PART = 0.2
#: Most tokens of an issuer that starts: several may start at once.
_MOST_START = 5.0
#: Seconds for which tokens are leased, at least and at most.
_SHORTEST_LEASE = 0.1
_LONGEST_LEASE = 1.0


@dataclass(frozen=True, slots=True)
class QuotaBound:
    """The most requests of an account that may run in a window, over all nodes.

    Parameters
    ==========

    window : float
        Length of the window, in seconds.
    excess : float
        Share of the limit that may run besides.
    slack : float
        Requests that may run besides.

    Examples
    ========

    >>> bound = QuotaBound()
    >>> account = ClientAccount("clerks", rate=10, burst=10)
    >>> bound.window_limit(account), bound.allowance(account)
    (60.0, 26.0)
    >>> bound.max_requests(account)
    86.0
    """

    window: float = 5.0
    excess: float = 0.1
    slack: float = 20.0

    def window_limit(self, account: ClientAccount) -> float:
        """Return the requests that are within the quota in a window."""
        return account.rate * self.window + account.burst

    def sustained_rate(self, account: ClientAccount) -> float:
        """Return the requests a second that keep within the quota for ever."""
        return self.issue_limit(account) / self.window

    def issue_limit(self, account: ClientAccount) -> float:
        """Return the requests that are let in at most in a window.

        Arrivals that are random exceed the limit in some windows though their mean
        is well below it.
        """
        return self.window_limit(account) + _GRANTED_PART * self.allowance(account)

    def bucket_depth(self, account: ClientAccount) -> float:
        """Return the requests that may be let in at once."""
        return max(1.0, account.burst + _GRANTED_PART * self.allowance(account))

    def max_requests(self, account: ClientAccount) -> float:
        """Return the requests that may run in any window."""
        return self.window_limit(account) + self.allowance(account)

    def allowance(self, account: ClientAccount) -> float:
        """Return the requests by which the limit may be exceeded in a window."""
        return self.window_limit(account) * self.excess + self.slack

    def lease_time(self, account: ClientAccount) -> float:
        """Return the seconds after which an unused token is void.

        What is used in a window was issued in it or this much earlier.
        """
        allowed = _LEASE_PART * self.allowance(account)
        seconds = allowed / self.sustained_rate(account)
        return min(max(seconds, _SHORTEST_LEASE), _LONGEST_LEASE)

    def initial_level(self, account: ClientAccount) -> float:
        """Return the tokens of an issuer that has just taken an account over."""
        return min(_START_PART * self.allowance(account), _MOST_START)
