"""Client accounts: the customers of the services, found by their keys."""

from rattanfork_core.client_accounts.account import ClientAccount
from rattanfork_core.client_accounts.index import AccountIndex
from rattanfork_core.client_accounts.validation import validate_accounts

__all__ = ["AccountIndex", "ClientAccount", "validate_accounts"]
