"""The member task: datagrams, joining and comparing views."""

from rattanfork_node.member.task import MemberTask

__all__ = ["MemberTask"]
