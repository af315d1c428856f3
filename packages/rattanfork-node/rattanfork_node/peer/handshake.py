"""How two nodes prove to each other that they belong together."""

import hmac

import msgpack

from rattanfork_node.peer.errors import FrameError

#: First size of a connection's buffer; by default it would be the largest.
_READ_BYTES = 16 << 10


def make_proof(
    key: bytes, role: bytes, first: bytes, second: bytes, node: str
) -> bytes:
    """Return the proof that a node knows the key, for these nonces only."""
    text = b"|".join((role, first, second, node.encode()))
    return hmac.digest(key, text, "sha256")


def check_proof(proof: bytes, expected: bytes) -> None:
    """Check a peer's proof.

    Raises
    ======

    FrameError
        If it is not the one expected.
    """
    if not hmac.compare_digest(proof, expected):
        raise FrameError("the peer does not know the key")


def make_unpacker(size: int) -> msgpack.Unpacker:
    """Return an unpacker that holds at most ``size`` bytes."""
    return msgpack.Unpacker(
        raw=False,
        use_list=True,
        strict_map_key=True,
        read_size=min(size, _READ_BYTES),
        max_buffer_size=size,
        max_str_len=size,
        max_bin_len=size,
        max_array_len=20_000,
        max_map_len=0,
        max_ext_len=0,
    )
