"""From an HTTP request to a request of the system."""

from random import Random

from aiohttp import web
from rattanfork_core.request import Importance

from rattanfork_node.call_ingress import IncomingRequest
from rattanfork_node.edge import headers as names

_LONGEST_ID = 128
_LONGEST_KEY = 400
_LONGEST_TIMEOUT_MS = 600_000
_MOST_ATTEMPTS = 1000


class BadRequestError(ValueError):
    """The request breaks the contract; the text says how."""


def parse_request(
    request: web.BaseRequest, body: bytes, random: Random
) -> IncomingRequest:
    """Return the request of the system that an HTTP request stands for.

    Raises
    ======

    BadRequestError
        With what is wrong and which header it is in.
    """
    raw_path = request.raw_path
    parts = raw_path.split("?", 1)[0].split("/", 3)
    if len(parts) < 3 or not parts[1] or not parts[2]:
        raise BadRequestError("the path must be /SERVICE/OPERATION")
    found = request.headers
    request_id = found.get(names.REQUEST_ID) or f"{random.getrandbits(128):032x}"
    _check_token(names.REQUEST_ID, request_id, _LONGEST_ID)
    caller = found.get(names.CALLER) or "anonymous"
    _check_token(names.CALLER, caller, _LONGEST_ID)
    key = found.get(names.KEY, "")
    if key:
        _check_token(names.KEY, key, _LONGEST_KEY)
    timeout = _number(found.get(names.TIMEOUT), names.TIMEOUT, _LONGEST_TIMEOUT_MS)
    attempt = _number(found.get(names.ATTEMPT), names.ATTEMPT, _MOST_ATTEMPTS)
    return IncomingRequest(
        service=parts[1],
        operation=parts[2],
        method=request.method,
        path=raw_path[len(parts[1]) + 1 :],
        headers=[
            (name, value)
            for name, value in found.items()
            if name.lower() not in names.DROPPED
        ],
        body=body,
        request_id=request_id,
        caller=caller,
        importance=_importance(found.get(names.IMPORTANCE)),
        timeout=None if timeout is None else timeout / 1000,
        attempt=attempt or 1,
        key=key,
        context=found.get(names.CONTEXT, ""),
    )


def _importance(text: str | None) -> Importance | None:
    if text is None:
        return None
    try:
        return Importance.parse(text)
    except ValueError as error:
        raise BadRequestError(f"{names.IMPORTANCE}: {error}") from None


def _number(text: str | None, name: str, most: int) -> int | None:
    if text is None:
        return None
    if not (text.isascii() and text.isdigit()) or not 1 <= int(text[:9]) <= most:
        raise BadRequestError(f"{name}: a whole number from 1 to {most} is expected")
    return int(text)


def _check_token(name: str, text: str, longest: int) -> None:
    if len(text) > longest:
        raise BadRequestError(f"{name}: at most {longest} characters")
    if not text.isascii() or not text.isprintable():
        raise BadRequestError(f"{name}: printable ASCII is expected")
