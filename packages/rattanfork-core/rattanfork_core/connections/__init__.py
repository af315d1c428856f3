"""Which kept connections may carry another request."""

from rattanfork_core.connections.rest_limit import RestLimit

__all__ = ["RestLimit"]
