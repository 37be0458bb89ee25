"""One valid job of many steps comes; an accepted job's next step and all other work wait for it."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-3"))
from world import now, run_case

JOB, LARGE = "00000000000000a1", "00000000000000a2"
TASKS = 5000
FINISH_S = 14.0  # finish_s of the site
WATCH_S = 40.0


async def play(site, trouble):
    site.configure()
    await site.add_front(1)
    await site.add_front(2)
    for number in (1, 2):
        await site.add_side(number, work_s=lambda task: 4.0,
                            capacity={"cpu": 64000, "mem_mb": 262144, "gpu": 8})
    await site.start()
    await site.wait_for("a leader", site.leader, 10)
    await asyncio.sleep(3)
    step = {"count": 1, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 4000}
    await site.submit(site.fronts[0], JOB, {"spec": "x", "phases": [step, {**step, "after": [0]}]})
    await site.wait_for("a start", site.history, 10)
    await asyncio.sleep(1)
    # The same tasks, each a step of its own, or all in one step.
    if trouble:
        phases = [{"count": 1, "cpu": 1}] * TASKS
    else:
        phases = [{"count": TASKS, "cpu": 1}]
    await site.call(site.fronts[0], "POST", LARGE, {"spec": "x", "phases": phases})
    sent = now()
    # The traffic has ended. `finish_s` later the accepted job is looked at.
    await asyncio.sleep(FINISH_S)
    idle_from, idle = None, 0.0
    while now() < sent + FINISH_S + WATCH_S:
        working = any(row[0].startswith(JOB) and row[3] is None for row in site.history())
        done = sum(1 for row in site.history(JOB + ".0.1.0") if row[4] == "done")
        if done and not trouble:
            break
        if working or done:
            idle_from = None
        else:
            idle_from = idle_from or now()
            idle = max(idle, now() - idle_from)
        await asyncio.sleep(0.05)
    at_work = sum(len(executor.running) for executor in site.executors)
    site.record(f"{len(site.history())} starts in all, {at_work} tasks at work at the end")
    for front in site.fronts:
        await site.call(front, "GET", JOB)
        await site.call(front, "POST", "00000000000000a3", {"spec": "x", "phases": [step]})
    for row in site.history():
        if row[0].startswith(JOB):
            site.record(f"run {row[1]} of {row[0]} on {row[5]}: {row[2]:.3f} to "
                        f"{row[3] and round(row[3], 3)} {row[4]}")
    if idle >= 3.0:
        return [f"LOST: job {JOB} was accepted, and its first step is done; from {FINISH_S:.0f} s after"
                f" the end of the traffic on it had nothing running for {idle:.0f} s, while both"
                f" executors are up and {at_work} tasks are at work"]
    return []


run_case(__file__, play)
