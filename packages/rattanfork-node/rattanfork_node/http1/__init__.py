"""HTTP/1.1 connections of a node, over a parser from a library.

The parser reads one message at a time; order, reuse, limits and closing are
decided here, because answers depend on them: a pipelined request must be
answered in its turn, and a request that came in behind a closing answer must
never be passed on.
"""

from rattanfork_node.http1.client import HttpClient
from rattanfork_node.http1.exchange import Exchange
from rattanfork_node.http1.fingerprints import fingerprint_of
from rattanfork_node.http1.handler import RequestHandler
from rattanfork_node.http1.headers import HeaderNames
from rattanfork_node.http1.limits import RequestLimits
from rattanfork_node.http1.pool import UpstreamPool
from rattanfork_node.http1.render import render_head, render_response
from rattanfork_node.http1.server import HttpServer
from rattanfork_node.http1.server_connection import ServerConnection
from rattanfork_node.http1.upstream import UpstreamConnection, UpstreamResponse

__all__ = [
    "Exchange",
    "HeaderNames",
    "HttpClient",
    "HttpServer",
    "RequestHandler",
    "RequestLimits",
    "ServerConnection",
    "UpstreamResponse",
    "UpstreamConnection",
    "UpstreamPool",
    "fingerprint_of",
    "render_response",
    "render_head",
]
