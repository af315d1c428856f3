"""Composition root of a node."""

from rattanfork_node.app.node import Node
from rattanfork_node.app.peers import NodePeerHandler

__all__ = ["Node", "NodePeerHandler"]
