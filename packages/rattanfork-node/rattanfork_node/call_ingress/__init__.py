"""Call path, second stage: from a parsed request to its result.

Takes the requests that :mod:`rattanfork_node.edge` parsed from HTTP, applies the
rules, picks an instance of the service, and sends the request to the
:mod:`~rattanfork_node.call_gate` in front of it, retrying within the budgets.
Routed requests are served by package :mod:`rattanfork_node.relay` instead.
"""

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
