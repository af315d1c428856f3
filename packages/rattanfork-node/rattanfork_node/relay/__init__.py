"""Route path: routes, admits, forwards and runs requests of a routing node.

Requests are driven by callbacks instead of one asyncio task each, because the
cost per request of this path dominates the CPU use of a node.
"""

from rattanfork_node.relay.body_bound import BodyBound
from rattanfork_node.relay.client_accounts import ClientAccounts
from rattanfork_node.relay.decision_log import DecisionLog
from rattanfork_node.relay.drain_policy import DrainPolicy
from rattanfork_node.relay.gate import Gate
from rattanfork_node.relay.job import Job
from rattanfork_node.relay.peer_handler import RelayPeerHandler
from rattanfork_node.relay.relay import Relay
from rattanfork_node.relay.settings import RelaySettings

__all__ = [
    "BodyBound",
    "ClientAccounts",
    "DrainPolicy",
    "Gate",
    "Job",
    "DecisionLog",
    "Relay",
    "RelayPeerHandler",
    "RelaySettings",
]
