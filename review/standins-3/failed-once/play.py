"""A lasting task fails once on its executor; every other executor is full of lasting work."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from world import now, run_case

BIG = "00000000000000c1"
JOB = "00000000000000c2"
AFTER_RUN_S = 6.0  # "from 6 s after its last run"
IDLE_S = 7.0  # "if the 3 s and the 4 s before them are calm"
WATCH_S = 40.0


async def play(site, trouble):
    site.configure()
    await site.add_front(1)
    await site.add_front(2)
    for number in (1, 2):
        await site.add_side(number, work_s=lambda task: 3600.0,
                            capacity={"cpu": 64000, "mem_mb": 262144, "gpu": 8})
    await site.start()
    await site.wait_for("a leader", site.leader, 10)
    await asyncio.sleep(3)
    lasting = {"count": 1, "mem_mb": 1000, "estimate_ms": 1000, "long_running": True}
    await site.submit(site.fronts[0], BIG, {
        "spec": "serve", "phases": [{**lasting, "cpu": 60000, "gpu": 8}]})
    await site.wait_for("a start of the big task", lambda: site.history(BIG + ".0.0.0"), 10)
    await site.submit(site.fronts[0], JOB, {
        "spec": "serve", "phases": [{**lasting, "cpu": 8000, "gpu": 1}]})
    task = JOB + ".0.0.0"
    await site.wait_for("a start of the task", lambda: site.history(task), 10)
    executor = [e for e in site.executors if task in e.running][0]
    await asyncio.sleep(5)
    if trouble:
        executor.end(task, "failed")
        failed_at = now()
        site.record(f"from here on {executor.id} is idle and ready: 64000 of cpu and 8 gpu are free,"
                    " the task needs 8000 and 1; the other executor has 4000 and none left")
    else:
        failed_at = now()
    # Nothing else happens from here on.
    await asyncio.sleep(WATCH_S)
    for name in (BIG, JOB):
        await site.call(site.fronts[0], "GET", name)
    for row in site.history():
        site.record(f"run {row[1]} of {row[0]} on {row[5]}: {row[2]:.3f} to "
                    f"{row[3] and round(row[3], 3)} {row[4]}")
    if trouble:
        runs = site.history(task)[1:]
        again = runs[0][2] if runs else now()
        waited = again - failed_at
        if waited > AFTER_RUN_S + IDLE_S:
            return [f"LOST: the lasting task {task} failed at {failed_at:.1f} s and "
                    + (f"was started again {waited:.1f} s later" if runs
                       else f"has not been started again {waited:.1f} s later")
                    + f", though {executor.id} is idle and ready and has room for it eight times over"]
    elif len(site.history(task)) != 1 or site.history(task)[0][3]:
        return ["LOST: the lasting task does not work"]
    return []


run_case(__file__, play)
