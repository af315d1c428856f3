"""The path of a request by routes: from a client to an upstream and back.

Requests are carried by callbacks, without a task for each, because this path
decides what the system costs.
"""

from rattanfork_node.relay.client_accounts import ClientAccounts
from rattanfork_node.relay.decision_log import DecisionLog
from rattanfork_node.relay.drain_policy import DrainPolicy
from rattanfork_node.relay.gate import Gate
from rattanfork_node.relay.job import Job
from rattanfork_node.relay.peer_handler import RelayPeerHandler
from rattanfork_node.relay.relay import Relay
from rattanfork_node.relay.settings import RelaySettings

__all__ = [
    "ClientAccounts",
    "DrainPolicy",
    "Gate",
    "Job",
    "DecisionLog",
    "Relay",
    "RelayPeerHandler",
    "RelaySettings",
]
