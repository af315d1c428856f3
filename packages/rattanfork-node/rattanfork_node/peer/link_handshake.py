"""State of the handshake on one connection between two nodes, for either side."""

import os

from rattanfork_node.peer.errors import FrameError
from rattanfork_node.peer.handshake import check_proof, make_proof
from rattanfork_node.peer.messages import (
    PROTOCOL_VERSION,
    Challenge,
    Hello,
    Message,
    Welcome,
)


class LinkHandshake:
    """Proves to the other node that this one has the shared key, and checks its proof.

    Parameters
    ==========

    key : bytes
        Secret shared by all nodes.
    node : str
        This node's name.
    data_centre : str
        Data centre of this node.
    connecting : bool
        Whether this side opened the connection.
    """

    __slots__ = (
        "_data_centre",
        "_is_client",
        "_key",
        "_node",
        "_nonce",
        "connection_id",
        "is_complete",
        "peer",
        "peer_data_centre",
    )

    def __init__(self, key: bytes, node: str, data_centre: str, connecting: bool):
        self._key = key
        self._node = node
        self._data_centre = data_centre
        self._is_client = connecting
        self._nonce = os.urandom(16)
        #: ID of the connection, which the connecting side chooses.
        self.connection_id = os.urandom(8).hex()
        #: Member name of the peer, covered by its proof; empty before.
        self.peer = ""
        #: Data centre that the peer reported; empty at the accepting side.
        self.peer_data_centre = ""
        #: Whether the peer has proved that it has the key.
        self.is_complete = False

    def challenge(self) -> Challenge:
        """Return the first message, of the accepting side."""
        return Challenge(PROTOCOL_VERSION, self._nonce)

    def advance(self, message: Message) -> Message | None:
        """Process a message of the peer; return the reply, if it has one.

        Raises
        ======

        FrameError
            If the message is not valid in this state, or proves nothing.
        """
        if self._is_client and isinstance(message, Challenge):
            return self._answer_challenge(message)
        if self._is_client and isinstance(message, Welcome):
            expected = self._proof(b"welcome", self._nonce, b"", message.node)
            check_proof(message.proof, expected)
            self.peer, self.peer_data_centre = message.node, message.data_centre
            self.is_complete = True
            return None
        if not self._is_client and isinstance(message, Hello):
            return self._welcome(message)
        raise FrameError("message is not valid in this state of the handshake")

    def _answer_challenge(self, message: Challenge) -> Hello:
        _check_version(message.version)
        proof = self._proof(b"hello", message.nonce, self._nonce, self._node)
        return Hello(
            PROTOCOL_VERSION, self._node, self.connection_id, self._nonce, proof
        )

    def _welcome(self, message: Hello) -> Welcome:
        _check_version(message.version)
        expected = self._proof(b"hello", self._nonce, message.nonce, message.node)
        check_proof(message.proof, expected)
        self.peer, self.connection_id = message.node, message.connection_id
        self.is_complete = True
        proof = self._proof(b"welcome", message.nonce, b"", self._node)
        return Welcome(self._node, self._data_centre, proof)

    def _proof(
        self, role: bytes, first_nonce: bytes, second_nonce: bytes, node: str
    ) -> bytes:
        return make_proof(self._key, role, first_nonce, second_nonce, node)


def _check_version(version: int) -> None:
    if version != PROTOCOL_VERSION:
        raise FrameError("protocol version of the peer differs from this node's")
