"""Proofs of the shared key in the handshake, and the frame decoder."""

import hmac

import msgpack

from rattanfork_node.peer.errors import FrameError

#: Initial receive buffer of a connection; msgpack's default is the maximum size, up to
#: 1 MiB.
_INITIAL_BUFFER_BYTES = 16 << 10


def make_proof(
    key: bytes, role: bytes, first_nonce: bytes, second_nonce: bytes, node: str
) -> bytes:
    """Return the HMAC that proves knowledge of the shared key for these nonces."""
    text = b"|".join((role, first_nonce, second_nonce, node.encode()))
    return hmac.digest(key, text, "sha256")


def check_proof(proof: bytes, expected: bytes) -> None:
    """Check the proof of a peer in constant time.

    Raises
    ======

    FrameError
        If the proof differs from the expected one.
    """
    if not hmac.compare_digest(proof, expected):
        raise FrameError("the peer's proof does not match the shared key")


def make_unpacker(size: int) -> msgpack.Unpacker:
    """Return an unpacker that buffers at most ``size`` bytes."""
    return msgpack.Unpacker(
        raw=False,
        use_list=True,
        strict_map_key=True,
        read_size=min(size, _INITIAL_BUFFER_BYTES),
        max_buffer_size=size,
        max_str_len=size,
        max_bin_len=size,
        max_array_len=20_000,
        max_map_len=0,
        max_ext_len=0,
    )
