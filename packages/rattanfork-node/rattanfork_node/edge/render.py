"""Call path: HTTP responses for results."""

from math import ceil

from aiohttp import web
from multidict import CIMultiDict
from rattanfork_core.request import CallResult, Outcome, Reason

from rattanfork_node.edge import headers as names

#: Statuses that guarantee to the caller that its request did not run.
_NOT_RUN_STATUS_BY_REASON = {
    Reason.LIMIT: 429,
    Reason.RETRY_BUDGET: 429,
    Reason.KEY_MISUSED: 409,
    Reason.BAD_REQUEST: 400,
    Reason.TOO_LARGE: 413,
    Reason.DEADLINE: 504,
}
_NOT_RUN_STATUS = 503
#: Statuses that guarantee nothing.
_UNKNOWN_STATUS_BY_REASON = {
    Reason.DEADLINE: 504,
    Reason.ANSWER_DROPPED: 410,
    Reason.KEY_EXPIRED: 410,
}
_UNKNOWN_STATUS = 502


def render_result(result: CallResult, request_id: str) -> web.Response:
    """Return the HTTP response for a result."""
    headers: CIMultiDict[str] = CIMultiDict(result.headers)
    headers[names.OUTCOME] = result.outcome.label
    headers[names.REQUEST_ID] = request_id
    if result.outcome is Outcome.ANSWERED:
        if result.retry_after and result.status >= 500:
            headers["Retry-After"] = str(ceil(result.retry_after))
        return web.Response(status=result.status, headers=headers, body=result.body)
    headers[names.REASON] = result.reason.label
    # Retry-After has a resolution of one second.
    headers["Retry-After"] = str(max(1, ceil(result.retry_after)))
    text = f"{result.outcome.label}: {result.reason.label}\n"
    return web.Response(status=_status_code(result), headers=headers, text=text)


def _status_code(result: CallResult) -> int:
    if result.outcome is Outcome.UNKNOWN:
        return _UNKNOWN_STATUS_BY_REASON.get(result.reason, _UNKNOWN_STATUS)
    return _NOT_RUN_STATUS_BY_REASON.get(result.reason, _NOT_RUN_STATUS)
