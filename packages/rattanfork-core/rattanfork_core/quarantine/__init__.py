"""Requests that end the upstreams that run them."""

from rattanfork_core.quarantine.witness import CrashWitness

__all__ = ["CrashWitness"]
