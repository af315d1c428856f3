"""Entry point of a process that runs stand-ins, given as JSON on the command line."""

import asyncio
import json
import sys

import uvloop

from rattanfork_testkit.forwarder import Forwarder, ForwarderSpec
from rattanfork_testkit.platform import PlatformStandIn
from rattanfork_testkit.upstream import UpstreamSpec, UpstreamStandIn


async def _run(specs: list[dict]) -> None:
    for spec in specs:
        kind = spec.pop("kind")
        if kind == "upstream":
            await UpstreamStandIn(UpstreamSpec(**spec)).start()
        elif kind == "forwarder":
            await Forwarder(ForwarderSpec(**spec)).start()
        elif kind == "platform":
            await PlatformStandIn(**spec).start()
        else:
            raise SystemExit(
                f"unknown kind of stand-in {kind!r}; "
                "expected upstream, forwarder or platform"
            )
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(_run(json.loads(sys.argv[1])))
