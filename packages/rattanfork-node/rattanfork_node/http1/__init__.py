"""HTTP/1.1 server and client connections of a node.

The ``httptools`` parser reads single messages.  This package adds pipelining, size
limits, time-outs, connection reuse and connection close: pipelined requests must be
answered in order, and a request that follows one with ``Connection: close`` must
never reach the handler.
"""

from rattanfork_node.http1.awaitable import acquire_connection, send_request
from rattanfork_node.http1.client import HttpClient
from rattanfork_node.http1.connection_end import (
    CloseReason,
    ConnectionEnd,
    ConnectionEndObserver,
    RequestStage,
    UnansweredRequest,
)
from rattanfork_node.http1.exchange import Exchange
from rattanfork_node.http1.fingerprints import fingerprint_of
from rattanfork_node.http1.handler import RequestHandler
from rattanfork_node.http1.headers import HeaderNames
from rattanfork_node.http1.input_pacer import InputPacer
from rattanfork_node.http1.limits import RequestLimits
from rattanfork_node.http1.pool import UpstreamPool
from rattanfork_node.http1.render import render_head, render_response
from rattanfork_node.http1.request_body import (
    PART_BYTES,
    BodyBuffer,
    BodyReader,
    HeldBody,
)
from rattanfork_node.http1.server import HttpServer
from rattanfork_node.http1.server_connection import ServerConnection
from rattanfork_node.http1.upload import Upload, UploadResources
from rattanfork_node.http1.upstream import UpstreamConnection
from rattanfork_node.http1.upstream_response import UpstreamResponse

__all__ = [
    "PART_BYTES",
    "BodyBuffer",
    "BodyReader",
    "CloseReason",
    "ConnectionEnd",
    "ConnectionEndObserver",
    "Exchange",
    "HeaderNames",
    "HeldBody",
    "HttpClient",
    "HttpServer",
    "InputPacer",
    "RequestHandler",
    "RequestLimits",
    "RequestStage",
    "ServerConnection",
    "UnansweredRequest",
    "Upload",
    "UploadResources",
    "UpstreamResponse",
    "UpstreamConnection",
    "UpstreamPool",
    "acquire_connection",
    "send_request",
    "fingerprint_of",
    "render_response",
    "render_head",
]
