"""Two nodes that relay by routes, in front of an upstream of a bench."""

import tempfile
from pathlib import Path
from types import SimpleNamespace
from urllib.parse import urlsplit

from rattanfork_adapter.tests.fakes import FakeStore
from rattanfork_adapter.tests.fleet import (
    NodeProcess,
    client_headers,
    configuration,
    wait_until,
)
from rattanfork_testkit import FreePorts


class ByRoutes:
    """A node of another service and the node beside an upstream.

    Parameters
    ==========

    upstream_url : str
        The upstream; it answers ``/a/x``.
    """

    def __init__(self, upstream_url: str) -> None:
        self._upstream = urlsplit(upstream_url)
        self._folder = tempfile.TemporaryDirectory()
        self._store = FakeStore()
        self._ports = FreePorts()
        self._nodes: list[NodeProcess] = []
        self.headers = client_headers("speed", 5000)

    @property
    def url(self) -> str:
        """Where callers of the other service send their requests."""
        return f"http://127.0.0.1:{self._nodes[0].ports['outbound']}/a/get"

    @property
    def processes(self) -> list:
        """The two nodes' processes."""
        return [node.process for node in self._nodes]

    async def __aenter__(self) -> "ByRoutes":
        await self._store.start()
        await self._store.put("op", "config", configuration(1))
        for name, service in (("caller", "s9"), ("target", "s1")):
            worker = SimpleNamespace(
                name=f"i-{name}",
                service=service,
                address=(self._upstream.hostname, self._upstream.port),
            )
            folder = Path(self._folder.name)
            node = NodeProcess(name, worker, self._store, folder, self._ports)
            self._nodes.append(node)
            await node.start()
            await node.announce(slots=400)
        await wait_until(self._serves)
        return self

    async def __aexit__(self, *_: object) -> None:
        for node in self._nodes:
            await node.stop()
        self._store.stop()
        self._folder.cleanup()

    async def _serves(self) -> bool:
        answer = await self._nodes[0].request("warm")
        return answer is not None and answer.status == 200
