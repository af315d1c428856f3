"""Which kept connections may carry another request."""

from rattanfork_core.connections.idle_limit import IdleLimit

__all__ = ["IdleLimit"]
