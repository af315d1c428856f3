"""The admin port: status, metrics, announcements, drain."""

from rattanfork_node.admin.admin import Admin

__all__ = ["Admin"]
