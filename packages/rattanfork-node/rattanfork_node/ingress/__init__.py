"""From a caller's request to its final answer, free of HTTP."""

from rattanfork_core.account.callers import CallerBook

from rattanfork_node.ingress.dispatcher import Dispatcher
from rattanfork_node.ingress.epochs import EpochBook
from rattanfork_node.ingress.incoming import Incoming
from rattanfork_node.ingress.ingress import Ingress
from rattanfork_node.ingress.key_assigner import KeyAssigner
from rattanfork_node.ingress.key_issuer import KeyIssuer
from rattanfork_node.ingress.treatment import Treatment, treat
from rattanfork_node.member.directory import InstanceDirectory

__all__ = [
    "CallerBook",
    "InstanceDirectory",
    "Dispatcher",
    "EpochBook",
    "Incoming",
    "Ingress",
    "KeyAssigner",
    "KeyIssuer",
    "Treatment",
    "treat",
]
