"""Client accounts: who sends a request, as its key tells."""

from rattanfork_core.client_accounts.account import ClientAccount
from rattanfork_core.client_accounts.findings import account_findings
from rattanfork_core.client_accounts.index import AccountIndex

__all__ = ["AccountIndex", "ClientAccount", "account_findings"]
