"""Stand-in of the platform's row store."""

import asyncio
import json
from base64 import b64encode
from time import monotonic
from urllib.parse import parse_qs, urlsplit

from standins.http import read_message, render_response

#: Seconds that an answer takes.
_ANSWER_S = 0.004
_MAX_ROWS = 500


class Store:
    """Rows in tables with conditions, ranges and a feed of changes."""

    def __init__(self) -> None:
        self.address = ("127.0.0.1", 0)
        self.rows: dict[tuple[str, str], tuple[int, str]] = {}
        self.changes: list[tuple[int, str, str]] = []
        self.version = 0
        #: Whether calls get status 503.
        self.busy = False
        #: Calls received, by operation.
        self.calls: dict[str, int] = {}
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def put_json(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator does."""
        await self._write(table, key, b64encode(json.dumps(value).encode()).decode())

    async def _write(self, table: str, key: str, value: str | None) -> None:
        self.version += 1
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (self.version, value)
        self.changes.append((self.version, table, key))
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (request := await read_message(reader, response=False)) is not None:
                await asyncio.sleep(_ANSWER_S)
                status, body = await self._handle(request.second, request.body)
                data = {**body, "rowVersion": self.version, "nowS": monotonic()}
                head = {"Content-Type": "application/json"}
                writer.write(render_response(status, head, json.dumps(data).encode()))
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    async def _handle(self, target: str, body: bytes) -> tuple[int, dict]:
        parts = urlsplit(target)
        call = parts.path.rpartition("/")[2]
        self.calls[call] = self.calls.get(call, 0) + 1
        if self.busy:
            return 503, {}
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if call == "rows-tx":
            return await self._transact(json.loads(body))
        if call == "rows-get":
            return 200, self._get_rows(query)
        if call == "rows-feed":
            return 200, await self._get_changes(query)
        return 404, {}

    async def _transact(self, body: dict) -> tuple[int, dict]:
        for row in body.get("expect", []):
            if (
                self.rows.get((row["table"], row["key"]), (0, ""))[0]
                != row["rowVersion"]
            ):
                names = [(r["table"], r["key"]) for r in body["expect"]]
                return 412, {"rows": [self._row(*name) for name in names]}
        for row in body.get("puts", []):
            await self._write(row["table"], row["key"], row["value"])
        for row in body.get("deletes", []):
            await self._write(row["table"], row["key"], None)
        return 200, {}

    def _get_rows(self, query: dict[str, str]) -> dict:
        start, end = query.get("rangeStart", ""), query.get("target")
        keys = sorted(
            key
            for table, key in self.rows
            if table == query["table"] and key >= start and (end is None or key < end)
        )
        limit = min(_MAX_ROWS, int(query.get("limit", _MAX_ROWS)))
        rows = [self._row(query["table"], key) for key in keys[:limit]]
        return {"rows": rows, "hasMore": len(keys) > limit}

    async def _get_changes(self, query: dict[str, str]) -> dict:
        table, after = query["table"], int(query["after"])
        try:
            async with asyncio.timeout(int(query.get("waitMs", 0)) / 1000):
                async with self._changed:
                    await self._changed.wait_for(lambda: self._keys(table, after))
        except TimeoutError:
            pass
        return {"rows": [self._row(table, key) for key in self._keys(table, after)]}

    def _keys(self, table: str, after: int) -> list[str]:
        return [
            key for version, t, key in self.changes if t == table and version > after
        ]

    def _row(self, table: str, key: str) -> dict:
        row = {"table": table, "part": "", "key": key}
        stored = self.rows.get((table, key))
        if stored is None:
            return {**row, "deleted": True, "rowVersion": self.version}
        return {**row, "rowVersion": stored[0], "value": stored[1]}
