"""Instances are added; some owners no longer hear of the one minion that has a label."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from standin import Instance, main, now_ms, trouble

INSTANCES = ["z0"] * 3 + ["z1"] * 3 + ["z2"]
ADDED = ["z0", "z1"]
FINISH_S = 14


async def case(system):
    # Each minion is alone in its rack, whose name is a label.
    minions = [(f"z{number % 3}", ["a", f"r-{number}"], 16000) for number in range(15)]
    await system.start(INSTANCES, minions, ["work"])
    seed = random.Random(os.environ.get("SEED", "1"))
    accepted, submits = {}, []

    async def submit(number):
        job = f"{seed.getrandbits(64):016x}"
        step = {"count": 1, "cpu": 500, "mem_mb": 64, "est_runtime_ms": 200,
                "required_label": f"r-{number % 15}"}
        body = {"job_spec": '{"ms":200,"cpu":500}', "steps": [step]}
        if await system.submit(system.instances[number % 7], "work", job, body) == 200:
            accepted[job] = now_ms()

    for number in range(360):
        if number in (20, 50) and trouble():
            name = f"e{len(system.instances)}"
            system.instances.append(Instance(system, name, ADDED[len(system.instances) - 7]))
            system.instances[-1].start()
        submits.append(asyncio.create_task(submit(number)))
        await asyncio.sleep(0.1)
    await asyncio.wait(submits, timeout=6)
    await asyncio.sleep(FINISH_S)
    begun = len(system.runs)
    await asyncio.sleep(3.5)
    idle = begun == len(system.runs)
    broken = []
    for job in accepted:
        runs = system.runs_of(job)
        if idle and not any(run.how == "done" for run in runs):
            state = await system.state("work", job)
            if state in ("pending", "active", "unknown"):
                broken.append(
                    f"LOST: {job}, accepted {(now_ms() - accepted[job]) / 1000:.0f} s ago, is "
                    f"{state}; {len(runs)} runs of it began; all minions have been idle for 3 s")
    system.record("accepted", "jobs", count=len(accepted), lost=len(broken))
    return broken[:10]


main(__file__, case)
