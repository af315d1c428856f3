"""Parsing of numbers that callers, upstreams and operators send as text."""

from rattanfork_core.parsing.whole_number import parse_whole_number

__all__ = ["parse_whole_number"]
