"""Hashes of text that are the same at every node."""

from rattanfork_core.hashing.hash64 import hash64

__all__ = ["hash64"]
