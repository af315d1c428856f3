"""Persists which services each operation calls, for nodes that start later."""

import asyncio

from rattanfork_core.gate_status import OperationDependencies
from rattanfork_core.gate_status.dependency_record import from_row, to_row
from rattanfork_core.membership import Membership, RoleAssignment
from rattanfork_platform import PlatformDownError, WatchedPlatform

from rattanfork_node.member.records import dependencies_key
from rattanfork_node.telemetry import Counters

#: Ticks between two checks for new dependencies, and so between two writes.
_CHECK_TICKS = 50
#: Nodes of each data centre that write the row.
_WRITERS_PER_DATA_CENTRE = 1


class DependencyTask:
    """Writes learned dependencies to the store and adopts those found there.

    Explanation
    ===========

    An entry node learns from the first successful responses which services a kind of
    request calls.  After a restart of all nodes under overload, each of them admits
    requests that a service further down the call chain sheds: in the first two seconds
    as many requests failed half-way as succeeded.  One node of each data centre
    therefore writes what it has learned, and a node that starts reads it together with
    the member records, in the same call.

    The row is a hint: a lost write, or a store that is down, leaves a node to learn by
    itself.  Own observations replace what was read.

    Parameters
    ==========

    dependencies : OperationDependencies
        Dependencies of this node's callers' requests.
    membership : Membership
        View from which the writers are chosen.
    platform : WatchedPlatform
        The store.
    counters : Counters
        Counts writes.
    """

    def __init__(
        self,
        dependencies: OperationDependencies,
        membership: Membership,
        platform: WatchedPlatform,
        counters: Counters,
    ) -> None:
        self._dependencies = dependencies
        self._platform = platform
        self._counters = counters
        self._writers = RoleAssignment(
            membership, "dependencies", _WRITERS_PER_DATA_CENTRE
        )
        self._ticks = 0
        #: Services of each operation that the store is known to hold.
        self._stored: dict[str, frozenset[str]] = {}
        self._write_task: asyncio.Task | None = None

    def merge_record(self, value: object) -> None:
        """Adopt the dependencies that nodes have persisted.

        Raises
        ======

        ValueError
            If the value is not a record of dependencies.
        """
        learned = from_row(value)
        self._dependencies.restore(learned)
        self._stored = {name: frozenset(names) for name, names in learned.items()}

    def tick(self) -> None:
        """Write new dependencies if this node is a writer; call ten times a second."""
        self._ticks += 1
        if self._ticks % _CHECK_TICKS or not self._writers.includes_self:
            return
        learned = self._dependencies.learned
        idle = self._write_task is None or self._write_task.done()
        if idle and self._has_news(learned):
            self._write_task = asyncio.ensure_future(self._write(learned))

    def close(self) -> None:
        """Cancel a pending write."""
        if self._write_task is not None:
            self._write_task.cancel()

    def _has_news(self, learned: dict[str, tuple[str, ...]]) -> bool:
        """Return whether an operation calls a service that the store doesn't name."""
        return any(
            not self._stored.get(operation, frozenset()).issuperset(services)
            for operation, services in learned.items()
        )

    async def _write(self, learned: dict[str, tuple[str, ...]]) -> None:
        try:
            await self._platform.transact({}, {dependencies_key(): to_row(learned)})
        except PlatformDownError:
            self._counters.events["dependencies.not-persisted"] += 1
            return
        self._counters.events["dependencies.persisted"] += 1
        self._stored = {name: frozenset(names) for name, names in learned.items()}
