"""Text hashes that are equal at every node and in every process."""

from rattanfork_core.hashing.hash64 import hash64

__all__ = ["hash64"]
