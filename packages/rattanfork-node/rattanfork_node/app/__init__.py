"""Composition roots of the two kinds of node, and the parts that only these use.

:class:`~rattanfork_node.app.node.Node` serves the project's own interface,
:class:`~rattanfork_node.app.relay_node.RelayNode` forwards by configured routes.
"""
