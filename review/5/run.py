"""The operator adds a route whose prefix is longer than 200 bytes. It is confirmed, and its callers are told that it does not exist."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(os.path.abspath(__file__))), "standin"))
from standin import new_id, run_case  # noqa: E402

CONFIG_APPLY_S = 2.0  # bounds.configApplyMs
LONG = "/" + "/".join(["intake-and-pricing-of-reclaimed-batches"] * 6) + "/"
SHORT = "/intake-and-pricing-of-reclaimed-batches/"
STEP = {"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 60}


async def case(deployment, trouble):
    prefix = LONG if trouble else SHORT
    deployment.version += 3
    deployment.routes["r-added"] = (deployment.host, prefix, deployment.service)
    deployment.configure()
    deployment.record.write("operator adds a route with a prefix of", len(prefix), "bytes; the store confirms it")
    await asyncio.sleep(CONFIG_APPLY_S + 0.5)
    broken = []
    for _ in range(5):
        for scheduler in deployment.schedulers:
            status, body = await deployment.submit(scheduler, new_id(), [STEP], "ms=60", 1500, prefix=prefix)
            count, _ = await deployment.request(scheduler, "GET", prefix)
            if status == 404 or count == 404:
                broken.append(f"CONFIG: {scheduler} answers {status} to a job and {count} to a count on the added route")
            elif not trouble and (status, count) != (200, 200):
                raise RuntimeError(f"the route is not served: {status} {count}")
        await asyncio.sleep(0.8)
    return broken


run_case(case)
