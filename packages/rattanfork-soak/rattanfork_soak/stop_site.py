"""Settings of a run of stopped nodes, and one of its nodes with its worker."""

import asyncio
import signal
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

from rattanfork_adapter.tests.fleet import NodeProcess, client_headers

from rattanfork_soak.calling_worker import CallingWorker
from rattanfork_soak.exchange_record import GRACE_S, ExchangeRecord, PlannedWork
from rattanfork_soak.recording_connection import RecordingConnection


@dataclass(frozen=True, slots=True)
class StopSettings:
    """Size and kind of a run.

    Parameters
    ==========

    seconds : float
        Seconds during which planned work starts.
    nodes_per_service : int
        Nodes of each of the three services.
    slots : int
        Requests that a worker serves at once.
    events : tuple of str
        Names of the planned work that is drawn from; those of :data:`EVENTS`.
    interval : float
        Mean seconds between two events.
    busy_processes : int
        Processes beside the fleet that take a processor each.
    half_closing : bool
        Whether one client of each node closes its sending side.
    late_calls : bool
        Whether one client of each node sends runs that make calls all the time.
    grace : float
        Seconds between SIGTERM and SIGKILL.
    """

    seconds: float = 20.0
    nodes_per_service: int = 2
    slots: int = 20
    events: tuple[str, ...] = ()
    interval: float = 0.8
    busy_processes: int = 0
    half_closing: bool = False
    late_calls: bool = False
    grace: float = GRACE_S


class StopSite:
    """A node and its worker."""

    def __init__(self, node: NodeProcess, worker: CallingWorker, grace: float) -> None:
        self.node = node
        self.worker = worker
        self.work = PlannedWork(grace)
        #: Held while the node is stopped and started.
        self.lock = asyncio.Lock()
        self._idle_calls: list[RecordingConnection] = []

    @property
    def address(self) -> tuple[str, int]:
        """Host and port for clients."""
        return "127.0.0.1", self.node.ports["outbound"]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node, if it runs."""
        if self.node.process.returncode is None:
            with suppress(ProcessLookupError):
                self.node.process.send_signal(number)

    async def call(
        self,
        path: str,
        record: ExchangeRecord,
        left_ms: int,
        now: Callable[[], float],
    ) -> bool:
        """Make a call on a kept connection; return whether it succeeded."""
        connection = None
        while self._idle_calls and connection is None:
            connection = self._idle_calls.pop()
            connection = connection if connection.is_idle else None
        if connection is None:
            connection = RecordingConnection(self.address, now)
            if not await connection.open():
                return False
        headers = client_headers(record.request_id, left_ms)
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        method = "GET" if record.idempotent else "POST"
        request = f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()
        await (await connection.send(record, [request]))
        if connection.is_idle:
            self._idle_calls.append(connection)
        return record.status == 200

    async def close_calls(self) -> None:
        """Close the kept connections of calls."""
        for connection in self._idle_calls:
            await connection.close()
