"""The rules task: reads the table on duty, hears from peers otherwise."""

from rattanfork_node.config.task import RulesTask

__all__ = ["RulesTask"]
