"""From a caller's request to its final answer, free of HTTP."""

from rattanfork_core.budgets.caller_table import CallerTable

from rattanfork_node.call_ingress.dispatcher import Dispatcher
from rattanfork_node.call_ingress.epoch_cache import EpochCache
from rattanfork_node.call_ingress.incoming_request import IncomingRequest
from rattanfork_node.call_ingress.ingress import CallIngress
from rattanfork_node.call_ingress.key_assigner import KeyAssigner
from rattanfork_node.call_ingress.key_issuer import KeyIssuer
from rattanfork_node.call_ingress.request_policy import RequestPolicy, select_policy
from rattanfork_node.member.directory import InstanceDirectory

__all__ = [
    "CallerTable",
    "InstanceDirectory",
    "Dispatcher",
    "EpochCache",
    "IncomingRequest",
    "CallIngress",
    "KeyAssigner",
    "KeyIssuer",
    "RequestPolicy",
    "select_policy",
]
