"""Membership of a node: gossip, joining, and the data that travels with gossip."""

from rattanfork_node.member.gossip_task import GossipTask

__all__ = ["GossipTask"]
