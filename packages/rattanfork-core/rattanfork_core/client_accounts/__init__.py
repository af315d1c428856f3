"""Client accounts, identified on each request by an API key."""

from rattanfork_core.client_accounts.account import ClientAccount
from rattanfork_core.client_accounts.index import AccountIndex
from rattanfork_core.client_accounts.validation import validate_accounts

__all__ = ["AccountIndex", "ClientAccount", "validate_accounts"]
