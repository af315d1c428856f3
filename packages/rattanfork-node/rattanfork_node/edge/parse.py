"""Call path: validation and parsing of HTTP requests."""

from random import Random

from aiohttp import web
from rattanfork_core.parsing import parse_whole_number
from rattanfork_core.request import Importance

from rattanfork_node.call_ingress import IncomingRequest
from rattanfork_node.edge import headers as names

_MAX_ID_LENGTH = 128
_MAX_KEY_LENGTH = 400
_MAX_TIMEOUT_MS = 600_000
_MAX_ATTEMPTS = 1000


class BadRequestError(ValueError):
    """The request is invalid; the text names the header or part and the reason."""


def parse_request(
    request: web.BaseRequest, body: bytes, random: Random
) -> IncomingRequest:
    """Parse an HTTP request of a caller or of the upstream.

    Raises
    ======

    BadRequestError
        If the path or a header is invalid.
    """
    raw_path = request.raw_path
    parts = raw_path.split("?", 1)[0].split("/", 3)
    if len(parts) < 3 or not parts[1] or not parts[2]:
        raise BadRequestError("the path must be /SERVICE/OPERATION")
    request_headers = request.headers
    request_id = (
        request_headers.get(names.REQUEST_ID) or f"{random.getrandbits(128):032x}"
    )
    _check_token(names.REQUEST_ID, request_id, _MAX_ID_LENGTH)
    caller = request_headers.get(names.CALLER) or "anonymous"
    _check_token(names.CALLER, caller, _MAX_ID_LENGTH)
    key = request_headers.get(names.KEY, "")
    if key:
        _check_token(names.KEY, key, _MAX_KEY_LENGTH)
    timeout = _parse_integer(
        request_headers.get(names.TIMEOUT), names.TIMEOUT, _MAX_TIMEOUT_MS
    )
    attempt = _parse_integer(
        request_headers.get(names.ATTEMPT), names.ATTEMPT, _MAX_ATTEMPTS
    )
    return IncomingRequest(
        service=parts[1],
        operation=parts[2],
        method=request.method,
        path=raw_path[len(parts[1]) + 1 :],
        headers=[
            (name, value)
            for name, value in request_headers.items()
            if name.lower() not in names.NOT_FORWARDED
        ],
        body=body,
        request_id=request_id,
        caller=caller,
        importance=_parse_importance(request_headers.get(names.IMPORTANCE)),
        timeout=None if timeout is None else timeout / 1000,
        attempt=attempt or 1,
        key=key,
        context=request_headers.get(names.CONTEXT, ""),
    )


def _parse_importance(text: str | None) -> Importance | None:
    if text is None:
        return None
    try:
        return Importance.parse(text)
    except ValueError as error:
        raise BadRequestError(f"{names.IMPORTANCE}: {error}") from None


def _parse_integer(text: str | None, name: str, maximum: int) -> int | None:
    if text is None:
        return None
    try:
        return parse_whole_number(text, 1, maximum)
    except ValueError as error:
        raise BadRequestError(f"{name}: {error}") from None


def _check_token(name: str, text: str, max_length: int) -> None:
    if len(text) > max_length:
        raise BadRequestError(f"{name}: at most {max_length} characters")
    if not text.isascii() or not text.isprintable():
        raise BadRequestError(f"{name}: printable ASCII is expected")
