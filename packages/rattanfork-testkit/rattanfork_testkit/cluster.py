"""Cluster of nodes and test doubles, each a process on the loopback interface."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic

import aiohttp
import yaml

from rattanfork_testkit.deployments import Deployment, ServiceSpec
from rattanfork_testkit.ports import FreePorts

_SECURITY_KEY = "a key for tests on loopback only"


@dataclass(slots=True)
class NodeHandle:
    """Ports, settings and processes of a node and the upstream beside it."""

    instance: str
    service: str
    data_centre: str
    edge_port: int
    peer_port: int
    admin_port: int
    upstream_port: int
    settings: Path
    process: subprocess.Popen | None = None
    upstream: subprocess.Popen | None = None

    @property
    def edge(self) -> str:
        """Base URL for callers."""
        return f"http://127.0.0.1:{self.edge_port}"

    @property
    def admin(self) -> str:
        """Base URL for operators."""
        return f"http://127.0.0.1:{self.admin_port}"

    @property
    def upstream_url(self) -> str:
        """Base URL of the upstream."""
        return f"http://127.0.0.1:{self.upstream_port}"


@dataclass(slots=True)
class Cluster:
    """Nodes of some deployments, with stand-ins for upstreams and the platform.

    Parameters
    ==========

    seed : int
        Seed of the service times of the upstreams.
    silence : float
        Seconds without data, while a request or ping is pending, after which a
        connection between nodes counts as lost.
    node_settings : dict
        Settings of nodes that replace or extend those written here, by section.

    Examples
    ========

    ``async with Cluster() as cluster:`` starts the platform, and on exit stops
    every process that the cluster has started.
    """

    seed: int = 1
    silence: float = 0.6
    platform_port: int = 0
    nodes: list[NodeHandle] = field(default_factory=list)
    node_settings: dict = field(default_factory=dict)
    _ports: FreePorts = field(default_factory=FreePorts)
    _directory: tempfile.TemporaryDirectory | None = None
    _processes: list[subprocess.Popen] = field(default_factory=list)
    _session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Cluster":
        """Start the stand-in for the platform."""
        self._directory = tempfile.TemporaryDirectory(prefix="rattanfork-")
        self._session = aiohttp.ClientSession()
        self.platform_port = self._ports.reserve()
        self.spawn_stand_ins([{"kind": "platform", "port": self.platform_port}])
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop all processes that were started here, by process ID."""
        await self._session.close()
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait(10)
        self._directory.cleanup()

    @property
    def platform_url(self) -> str:
        """Base URL of the platform."""
        return f"http://127.0.0.1:{self.platform_port}"

    @property
    def folder(self) -> Path:
        """Temporary directory, removed when the cluster stops."""
        return Path(self._directory.name)

    def free_port(self) -> int:
        """Reserve a port and return its number."""
        return self._ports.reserve()

    def spawn_stand_ins(self, specs: list[dict]) -> subprocess.Popen:
        """Start one process that runs some stand-ins; wait until they listen."""
        command = [
            sys.executable,
            "-m",
            "rattanfork_testkit.processes",
            json.dumps(specs),
        ]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self._processes.append(process)
        process.stdout.readline()
        return process

    def add_deployment(self, deployment: Deployment, workers: int = 0) -> None:
        """Start the instances of all services of a deployment."""
        for name, spec in deployment.services.items():
            for i in range(workers or spec.workers):
                centre = deployment.data_centres[i % len(deployment.data_centres)]
                self.add_instance(name, spec, centre, i + 1)

    def add_instance(
        self,
        service: str,
        spec: ServiceSpec,
        data_centre: str,
        number: int,
        **more: object,
    ) -> NodeHandle:
        """Start an upstream and its node."""
        node = NodeHandle(
            f"{service}-{number}",
            service,
            data_centre,
            *(self._ports.reserve() for _ in range(4)),
            settings=Path(self._directory.name) / f"{service}-{number}.yaml",
        )
        self._write_settings(node, spec)
        self.start_upstream(node, spec, number, **more)
        self.start_node(node)
        self.nodes.append(node)
        return node

    def add_baseline(
        self,
        services: dict[str, ServiceSpec],
        retries: int,
        attempt_timeout: float,
        **more: object,
    ) -> list[NodeHandle]:
        """Start upstreams, each with a plain forwarder in place of a node."""
        handles = []
        for name, spec in services.items():
            for i in range(spec.workers):
                ports = [self._ports.reserve() for _ in range(4)]
                path = Path(self._directory.name) / f"{name}-{i}"
                handles.append(NodeHandle(f"{name}-{i}", name, "", *ports, path))
        targets: dict[str, list[str]] = {}
        for handle in handles:
            targets.setdefault(handle.service, []).append(handle.upstream_url)
        for i, handle in enumerate(handles):
            forwarder = {
                "kind": "forwarder",
                "port": handle.edge_port,
                "targets": targets,
                "retries": retries,
                "timeout": attempt_timeout,
                "seed": i,
            }
            handle.process = self.spawn_stand_ins([forwarder])
            spec = services[handle.service]
            self.start_upstream(handle, spec, i, announces=False, **more)
        self.nodes += handles
        return handles

    def start_upstream(
        self,
        node: NodeHandle,
        spec: ServiceSpec,
        seed: int,
        announces: bool = True,
        **more: object,
    ) -> None:
        """Start the upstream beside a node."""
        spec_values = {
            "kind": "upstream",
            "service": node.service,
            "port": node.upstream_port,
            "edge": node.edge,
            "admin": node.admin if announces else "",
            "slots": spec.slots,
            "connections": spec.connections,
            "service_time": spec.service_time,
            "children": {op: list(calls) for op, calls in spec.children.items()},
            "seed": self.seed * 1000 + seed,
            **more,
        }
        node.upstream = self.spawn_stand_ins([spec_values])

    def start_node(self, node: NodeHandle) -> None:
        """Start the process of a node from its settings file."""
        command = [
            sys.executable,
            "-m",
            "rattanfork_node.main",
            "--settings",
            str(node.settings),
        ]
        log = open(node.settings.with_suffix(".err"), "ab")  # noqa: SIM115
        node.process = subprocess.Popen(command, stderr=log)
        log.close()
        self._processes.append(node.process)

    def errors(self, node: NodeHandle) -> str:
        """Return the standard error of a node, over all of its processes."""
        return node.settings.with_suffix(".err").read_text()

    async def run_cli(self, *arguments: str) -> str:
        """Run the command line and return its standard output.

        Raises
        ======

        RuntimeError
            If the exit status is not 0; the message is its standard error.
        """
        command = [sys.executable, "-m", "rattanfork_cli.main", *arguments]
        process = await asyncio.create_subprocess_exec(
            *command, stdout=subprocess.PIPE, stderr=subprocess.PIPE
        )
        out, err = await process.communicate()
        if process.returncode:
            raise RuntimeError(err.decode().strip())
        return out.decode().strip()

    async def get(self, url: str) -> dict:
        """Return the JSON response of a stand-in or an admin port."""
        async with self._session.get(url) as response:
            return await response.json()

    async def control(self, base: str, **change: object) -> None:
        """Change the behaviour of a stand-in."""
        async with self._session.post(f"{base}/-/control", json=change) as response:
            response.raise_for_status()

    async def wait_ready(self, timeout: float = 60.0) -> None:
        """Wait until each live node is ready and knows all instances as ready.

        Raises
        ======

        TimeoutError
            If it takes longer than ``timeout`` seconds; the message lists what
            each node knows.
        """
        end = monotonic() + timeout
        live = [n for n in self.nodes if n.process.poll() is None]
        while monotonic() < end:
            if all([await self._is_ready(node, len(live)) for node in live]):
                return
            await asyncio.sleep(0.1)
        descriptions = [await self._describe(node) for node in live]
        raise TimeoutError("nodes did not become ready: " + "; ".join(descriptions))

    async def _is_ready(self, node: NodeHandle, count: int) -> bool:
        try:
            status = await self.get(f"{node.admin}/status")
            members = await self.get(f"{node.admin}/members")
        except (aiohttp.ClientError, OSError):
            return False
        serving = [m for m in members if m["ready"] and m["status"] != "dead"]
        return status["ready"] and len(serving) >= count

    async def _describe(self, node: NodeHandle) -> str:
        """Describe the members that a node knows, for the error of a failed start."""
        if node.process.poll() is not None:
            return f"{node.instance} exited with status {node.process.returncode}"
        try:
            members = await self.get(f"{node.admin}/members")
        except (aiohttp.ClientError, OSError) as error:
            return f"{node.instance} does not respond: {error!r}"
        known = [f"{m['instance']} {m['status']} {m['ready']}" for m in members]
        return f"{node.instance} knows {', '.join(known)}"

    def _write_settings(self, node: NodeHandle, spec: ServiceSpec) -> None:
        seeds = [f"127.0.0.1:{n.peer_port}" for n in self.nodes[:3]]
        settings = {
            "instance": node.instance,
            "service": node.service,
            "data_centre": node.data_centre,
            "host": "127.0.0.1",
            "edge_port": node.edge_port,
            "peer_port": node.peer_port,
            "gossip_port": node.peer_port,
            "admin_port": node.admin_port,
            "seeds": seeds,
            "security": {"key": _SECURITY_KEY},
            "upstream": {
                "url": node.upstream_url,
                "slots": spec.slots,
                "connections": spec.connections,
                "warmup": 0,
            },
            "platform": {"url": self.platform_url},
            "requests": {"silence": self.silence},
        }
        for section, values in self.node_settings.items():
            if isinstance(values, dict):
                settings[section] = {**settings.get(section, {}), **values}
            else:
                settings[section] = values
        node.settings.write_text(yaml.safe_dump(settings))
        os.chmod(node.settings, 0o600)
