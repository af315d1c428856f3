"""Idempotency keys that are valid at one incarnation of an instance's node."""

import hmac
from base64 import urlsafe_b64decode, urlsafe_b64encode
from dataclasses import dataclass
from random import Random

import msgpack

_MAC_BYTES = 12
_NONCE_BITS = 80
#: Maximum length of a key, in characters.
MAX_TICKET_LENGTH = 400


class TicketError(ValueError):
    """The key was not issued by a node of this system."""


@dataclass(frozen=True, slots=True)
class Ticket:
    """An idempotency key bound to one incarnation of an instance's node.

    Parameters
    ==========

    service : str
        The service that the instance belongs to.
    instance : str
        The only instance that may run the key.
    boot : str
        The incarnation (process) of the instance's node.  A restarted node no longer
        knows which keys ran, so it must not run keys of an earlier incarnation.
    epoch : int
        The epoch of the instance's key registry when the key was issued.
    nonce : int
        Makes the key unique.
    """

    service: str
    instance: str
    boot: str
    epoch: int
    nonce: int


class TicketIssuer:
    """Issues tickets and verifies them.

    Explanation
    ===========

    A ticket carries a keyed hash (HMAC), so that a caller cannot create tickets that
    differ only in the instance: with two of them, one request could run twice.

    Parameters
    ==========

    key : bytes
        The secret that all nodes share.
    random : Random
        Source of nonces; ``SystemRandom`` in production.

    Examples
    ========

    >>> issuer = TicketIssuer(b"secret", Random(1))
    >>> text = issuer.issue("claims", "claims-1", "b1", 4)
    >>> issuer.parse(text).instance
    'claims-1'
    >>> issuer.parse("bogus")
    Traceback (most recent call last):
    ...
    rattanfork_core.idempotency.ticket.TicketError: not a key of this system
    """

    def __init__(self, key: bytes, random: Random) -> None:
        self._key = key
        self._random = random

    def issue(self, service: str, instance: str, boot: str, epoch: int) -> str:
        """Return a new ticket, encoded as text."""
        nonce = self._random.getrandbits(_NONCE_BITS).to_bytes(10, "big")
        body = msgpack.packb((service, instance, boot, epoch, nonce))
        return urlsafe_b64encode(body + self._mac(body)).decode().rstrip("=")

    def parse(self, text: str) -> Ticket:
        """Verify and decode a ticket.

        Raises
        ======

        TicketError
            If the text is malformed, too long, or its hash is wrong.
        """
        if len(text) > MAX_TICKET_LENGTH:
            raise TicketError("not a key of this system")
        try:
            raw = urlsafe_b64decode(text + "=" * (-len(text) % 4))
            body, mac = raw[:-_MAC_BYTES], raw[-_MAC_BYTES:]
            if not hmac.compare_digest(mac, self._mac(body)):
                raise TicketError("not a key of this system")
            service, instance, boot, epoch, nonce = msgpack.unpackb(body)
        except TicketError:
            raise
        except Exception as error:
            raise TicketError("not a key of this system") from error
        return Ticket(service, instance, boot, epoch, int.from_bytes(nonce, "big"))

    def _mac(self, body: bytes) -> bytes:
        return hmac.digest(self._key, b"ticket" + body, "sha256")[:_MAC_BYTES]
