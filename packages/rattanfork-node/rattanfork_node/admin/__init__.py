"""Admin port of a node: status, reports, metrics, announcements and drain."""

from rattanfork_node.admin.admin import Admin

__all__ = ["Admin"]
