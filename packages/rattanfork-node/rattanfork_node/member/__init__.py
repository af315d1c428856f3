"""The member task: datagrams, joining and comparing views."""

from rattanfork_node.member.gossip_task import GossipTask

__all__ = ["GossipTask"]
