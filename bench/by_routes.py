"""Two nodes that relay by routes to an upstream, for ``speed.py``."""

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
    """The node of a calling service, and the node of the upstream.

    Parameters
    ==========

    upstream_url : str
        Base URL of the upstream.
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
        """URL for requests of the calling service."""
        return f"http://127.0.0.1:{self._nodes[0].ports['outbound']}/a/get"

    @property
    def processes(self) -> list:
        """Processes of both nodes."""
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
