"""A node is killed and started again while its worker goes on with its runs."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.client import Kind  # noqa: E402
from standins.deployment import (  # noqa: E402
    Deployment,
    configuration,
    route,
    run_case,
)
from standins.node import BOUNDS  # noqa: E402

KEY = "k-7f3a91c2"
SUBMIT = Kind(
    "claim-submit", "POST", "claims.example", "/submit/", 15.0, 15.0, b"x" * 400, KEY
)
#: The call of each run at its end; a call carries no key.
FETCH = Kind("declaration-fetch", "GET", "declarations.example", "/fetch/", 0.0, 2.0)
KILLS = 3
#: The short delay after which the platform starts a killed process again.
RESTART_S = 0.3


async def play(trouble: bool) -> int:
    """Play the case; return the exit status."""
    deployment = Deployment(bounds=(*BOUNDS, "strictRevoke=true", "revokeS=5"))
    await deployment.store.start()
    routes = {
        "submit": route(SUBMIT, "claims", idempotent=False, timeout_s=10.0),
        "fetch": route(FETCH, "declarations", idempotent=True, timeout_s=2.0),
    }
    document = configuration(1, routes, ["claims", "declarations"])
    document["tenants"] = {"bureau": {"apiKeys": [KEY], "ratePerS": 0, "burst": 0}}
    await deployment.store.put_json("op", "config", document)
    try:
        claims = await deployment.add_site("claims", 45, 135, 1.3)
        for _ in range(3):
            await deployment.add_site("declarations", 140, 216, 0.015)

        async def make_call(request_id: str, left: float) -> bool:
            call = await claims.clients.send(
                FETCH, f"{request_id}.1", min(left, FETCH.deadline_s)
            )
            return call.status == 200

        claims.worker.make_call = make_call
        claims.worker.drops = False
        await deployment.start()
        length = 4.0 + KILLS * 6.0
        sending = [
            asyncio.ensure_future(site.clients.send_for(SUBMIT, length))
            for site in deployment.sites[1:3]
        ]
        await asyncio.sleep(4.0)
        for _ in range(KILLS):
            if trouble:
                deployment.note("n1 is killed and started again")
                await claims.node.kill()
                await asyncio.sleep(RESTART_S)
                await claims.node.start()
            await asyncio.sleep(6.0)
        await asyncio.gather(*sending)
        for site in deployment.sites:
            await site.clients.finish()
        made = claims.clients.attempts
        denied = [a for a in made if a.status in (401, 403, 404)]
        by_status = {
            s: sum(a.status == s for a in made) for s in {a.status for a in made}
        }
        submits = [a for a in deployment.attempts if a.kind == SUBMIT.name]
        verdict = [
            f"claim-submit: {len(submits)} sent, "
            f"{sum(a.status == 200 for a in submits)} answered 200",
            f"declaration-fetch: {len(made)} calls, by status {by_status}",
            f"proper calls answered 401, 403 or 404: {len(denied)}",
            "BROKEN" if len(denied) > 10 else "held",
        ]
        deployment.write_record(FOLDER / "record.txt", verdict)
        print("\n".join(verdict))
        if len(made) < 100:
            return 2
        return 1 if len(denied) > 10 else 0
    finally:
        await deployment.stop()


if __name__ == "__main__":
    run_case(play)
