"""Which kept connections may carry another request."""

from rattanfork_core.connections.idle_limit import RestLimit

__all__ = ["RestLimit"]
