"""From a caller's request to its final answer, free of HTTP."""

from rattanfork_node.ingress.callers import CallerBook
from rattanfork_node.ingress.directory import Directory
from rattanfork_node.ingress.dispatcher import Dispatcher
from rattanfork_node.ingress.incoming import Incoming
from rattanfork_node.ingress.ingress import Ingress
from rattanfork_node.ingress.key_assigner import KeyAssigner
from rattanfork_node.ingress.treatment import Treatment, treat

__all__ = [
    "CallerBook",
    "Directory",
    "Dispatcher",
    "Incoming",
    "Ingress",
    "KeyAssigner",
    "Treatment",
    "treat",
]
