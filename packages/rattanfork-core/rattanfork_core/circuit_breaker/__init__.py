"""Circuit breakers for operations whose requests hardly ever complete."""

from rattanfork_core.circuit_breaker.breaker import OperationBreakers

__all__ = ["OperationBreakers"]
