"""Reuse of keep-alive connections to an upstream."""

from rattanfork_core.connections.idle_limit import IdleLimit

__all__ = ["IdleLimit"]
