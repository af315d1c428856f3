"""Fakes of the store, the peers and the gossip task."""

import asyncio
from collections import Counter, deque
from types import SimpleNamespace

import orjson
from rattanfork_core.membership import Member
from rattanfork_core.revision import RulesRecord
from rattanfork_platform import (
    HistoryLostError,
    PlatformDownError,
    Row,
    Rows,
    WatchedPlatform,
)

from rattanfork_node.peer import LinkLostError

#: Fields of a record without rules.
_NO_RULES = (0, "", "", "", "")


class FakePlatform(WatchedPlatform):
    """In-memory store; ``down`` and ``history_lost`` inject faults."""

    def __init__(self) -> None:
        self.tables: dict[str, dict[str, bytes]] = {}
        self.version = 0
        self.down = False
        self.history_lost = False
        #: The era that the store states.
        self.stated_era = 1
        self.calls: list[str] = []
        self._changed = asyncio.Event()

    @property
    def call_counts(self) -> Counter:
        return Counter((call, "done") for call in self.calls)

    @property
    def pending(self) -> tuple:
        return ()

    @property
    def era(self) -> int:
        return self.stated_era

    @property
    def seconds_since_answer(self) -> float:
        return 0.0

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row and complete pending watches."""
        self.version += 1
        self.tables.setdefault(table, {})[key] = value
        self._changed.set()

    async def read(self, key: str) -> Row:
        raise PlatformDownError("not used here")

    async def transact(self, checks, writes) -> bool:
        self._call("transact")
        for key, value in writes.items():
            table, _, name = key.partition("/")
            self.put(table, name, value)
        return True

    async def remove(self, key: str) -> None:
        self._call("remove")
        table, _, name = key.partition("/")
        self.tables.get(table, {}).pop(name, None)

    async def scan(self, table: str, key: str = "") -> Rows:
        self._call("scan")
        rows = self.tables.get(table, {})
        return Rows(
            {k: Row(1, v) for k, v in rows.items() if not key or k == key},
            self.version,
        )

    async def watch(self, table: str, after: int, wait: float) -> Rows:
        self._call("watch")
        if self.history_lost:
            self.history_lost = False
            raise HistoryLostError("history truncated")
        if self.version <= after:
            self._changed.clear()
            await self._changed.wait()
            if self.down:
                raise PlatformDownError("store unreachable")
        rows = self.tables.get(table, {})
        return Rows({k: Row(1, v) for k, v in rows.items()}, self.version)

    async def changes(self, table: str, after: int) -> Rows:
        self._call("changes")
        if self.history_lost:
            self.history_lost = False
            raise HistoryLostError("history truncated")
        rows = self.tables.get(table, {}) if self.version > after else {}
        return Rows({k: Row(1, v) for k, v in rows.items()}, self.version)

    async def close(self) -> None:
        pass

    def disconnect(self) -> None:
        """Fail pending watches and all further calls."""
        self.down = True
        self._changed.set()

    def _call(self, call: str) -> None:
        self.calls.append(call)
        if self.down:
            raise PlatformDownError("store unreachable")


def encode_rows(platform: FakePlatform) -> None:
    """Make the fake store rows as bytes, as the real store does."""
    put = platform.put

    def put_encoded(table, key, value):
        put(table, key, value if isinstance(value, bytes) else orjson.dumps(value))

    platform.put = put_encoded


class FakePeers:
    """Connection pool in which every address leads to the same peer."""

    def __init__(self) -> None:
        self.version = 0
        self.document = b""
        self.reachable = True
        self.request_count = 0
        self.data_centres = deque(("dc1", "dc2"))
        self.addresses: list[tuple[str, int]] = []
        self.record = RulesRecord(*_NO_RULES)

    async def open(self, address):
        self.request_count += 1
        self.addresses.append(address)
        if not self.reachable:
            raise LinkLostError("peer is unreachable")
        return self

    def next_number(self) -> int:
        return 1

    async def ask_rules(self, address, known: int):
        self.request_count += 1
        record = (
            self.record if self.record.revision > known else RulesRecord(*_NO_RULES)
        )
        reply = SimpleNamespace(ready=True, **record.as_row())
        # Successive replies come from different data centres.
        self.data_centres.rotate()
        return self.data_centres[0], reply

    async def ask(self, request):
        newer = self.version > request.known
        return SimpleNamespace(document=self.document if newer else b"")


class FakeGossipTask:
    """Gossip state set by the test; sends nothing."""

    def __init__(self) -> None:
        self.newest_configuration = 0
        self.newest_rules = 0
        self.configuration_source: Member | None = None
        self.rules_source: Member | None = None

    def push_cached_versions(self, names) -> None:
        pass


def member(name: str) -> Member:
    """Return the record of a node of this name."""
    return Member(name, "b", "s", "dc1", "127.0.0.1", 1, 2, 8)


async def wait_until(condition) -> None:
    """Let other tasks run until a condition is true."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)
