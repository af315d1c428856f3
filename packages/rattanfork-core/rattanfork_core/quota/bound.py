"""Bounds of a quota: its limit per window and by how much it may be exceeded."""

from dataclasses import dataclass

from rattanfork_core.client_accounts import ClientAccount

#: Fractions of the allowance that may be used up by random variation of the arrivals,
#: by tokens that are leased and unused, by the initial tokens of issuers that take an
#: account over, and by what a new primary issues while its predecessor may have used
#: the whole limit of the window.
_VARIATION_FRACTION = 0.4
_LEASE_FRACTION = 0.15
_TAKEOVER_FRACTION = 0.2
_SUCCESSION_FRACTION = 0.25
#: Most tokens of an issuer that takes an account over; several may do so at once.
_MAX_INITIAL_TOKENS = 5.0
#: Bounds of the time after which a leased token expires.
_MIN_LEASE_SECONDS = 0.1
_MAX_LEASE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class QuotaBound:
    """Upper bound of the requests of an account in a window, over all nodes.

    Parameters
    ==========

    window : float
        Length of the window, in seconds.
    excess : float
        Fraction of the limit by which it may be exceeded.
    slack : float
        Number of requests by which it may be exceeded in addition.

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
        """Return the limit of the account on the requests in a window."""
        return account.rate * self.window + account.burst

    def sustained_rate(self, account: ClientAccount) -> float:
        """Return the highest steady rate, in requests per second, that is granted."""
        return self.issue_limit(account) / self.window

    def issue_limit(self, account: ClientAccount) -> float:
        """Return the most tokens that are issued in a window.

        It exceeds the limit, as random arrivals exceed it in some windows although
        their mean rate is well below.
        """
        return self.window_limit(account) + _VARIATION_FRACTION * self.allowance(
            account
        )

    def bucket_depth(self, account: ClientAccount) -> float:
        """Return the capacity of the token bucket: the largest burst."""
        return max(1.0, account.burst + _VARIATION_FRACTION * self.allowance(account))

    def max_requests(self, account: ClientAccount) -> float:
        """Return the upper bound of the requests that run in any window."""
        return self.window_limit(account) + self.allowance(account)

    def allowance(self, account: ClientAccount) -> float:
        """Return by how many requests the limit may be exceeded in a window."""
        return self.window_limit(account) * self.excess + self.slack

    def lease_time(self, account: ClientAccount) -> float:
        """Return the seconds after which an unused token expires.

        Tokens used in a window may have been issued this long before it.
        """
        leased = _LEASE_FRACTION * self.allowance(account)
        seconds = leased / self.sustained_rate(account)
        return min(max(seconds, _MIN_LEASE_SECONDS), _MAX_LEASE_SECONDS)

    def exhausted_time(self, account: ClientAccount) -> float:
        """Return the longest time for which an issuer at its limit issues nothing.

        An account that exceeds its limit uses the whole bucket and then all that is
        refilled, until the limit of the window is reached.  The next tokens are issued
        when those of the full bucket leave the window.
        """
        return self.window * self.bucket_depth(account) / self.issue_limit(account)

    def succession_rate(self, account: ClientAccount) -> float:
        """Return the tokens per second that a successor may issue in that time."""
        tokens = _SUCCESSION_FRACTION * self.allowance(account)
        return tokens / self.exhausted_time(account)

    def initial_level(self, account: ClientAccount) -> float:
        """Return the initial tokens of an issuer that takes an account over."""
        return min(_TAKEOVER_FRACTION * self.allowance(account), _MAX_INITIAL_TOKENS)
