"""Entry point of the stand-ins' processes."""

import asyncio
import json
import sys

import uvloop

from rattanfork_testkit.forwarder import Forwarder, ForwarderSpec
from rattanfork_testkit.platform import PlatformStandIn
from rattanfork_testkit.upstream import UpstreamSpec, UpstreamStandIn


async def _run(parts: list[dict]) -> None:
    for part in parts:
        kind = part.pop("kind")
        if kind == "upstream":
            await UpstreamStandIn(UpstreamSpec(**part)).start()
        elif kind == "forwarder":
            await Forwarder(ForwarderSpec(**part)).start()
        elif kind == "platform":
            await PlatformStandIn(**part).start()
        else:
            raise SystemExit(f"unknown stand-in {kind!r}")
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(_run(json.loads(sys.argv[1])))
