"""The only minion with a label is lost; the jobs that need it block all other jobs."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from standin import main, now_ms, trouble

FINISH_S = 14


async def case(system):
    minions = [(f"z{number % 3}", ["b" if number == 0 else "a", f"r-{number % 3}"], 16000)
               for number in range(7)]
    await system.start(["z0", "z1", "z2"], minions, ["work"])
    seed = random.Random(os.environ.get("SEED", "1"))
    plain, labelled, submits = {}, {}, []

    async def submit(number):
        job = f"{seed.getrandbits(64):016x}"
        step = {"count": 1, "cpu": 500, "mem_mb": 64, "est_runtime_ms": 200}
        accepted = plain
        if number % 2:
            step["required_label"] = "b"
            accepted = labelled
        body = {"job_spec": '{"ms":200,"cpu":500}', "steps": [step]}
        if await system.submit(system.instances[number % 3], "work", job, body) == 200:
            accepted[job] = now_ms()

    for number in range(400):
        if number == 40 and trouble():
            system.minions[0].crash()
        submits.append(asyncio.create_task(submit(number)))
        await asyncio.sleep(0.1)
    await asyncio.wait(submits, timeout=6)
    await asyncio.sleep(FINISH_S)
    begun = len(system.runs)
    await asyncio.sleep(3.5)
    idle = begun == len(system.runs)
    # Only the jobs that any of the six other minions could run are judged.
    broken = []
    for job in plain:
        runs = system.runs_of(job)
        if idle and not any(run.how == "done" for run in runs):
            state = await system.state("work", job) if len(broken) < 10 else "pending"
            if state in ("pending", "active", "unknown"):
                broken.append(
                    f"LOST: {job}, accepted {(now_ms() - plain[job]) / 1000:.0f} s ago, is "
                    f"{state}; {len(runs)} runs of it began; all minions have been idle for 3 s")
    waiting = sum(not system.runs_of(job) for job in labelled)
    system.record("accepted", "plain", count=len(plain), lost=len(broken))
    system.record("accepted", "labelled", count=len(labelled), waiting=waiting)
    return broken[:10]


main(__file__, case)
