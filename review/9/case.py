"""A control machine is killed right after it acknowledged that workers leave."""
import asyncio
import itertools
import time
from collections import Counter

from fleet import CannotRun, Fleet, TROUBLE, run_case
from stand_ins import Operator, Worker, ask, manifest, route

RESTART_AFTER_S = 0.3
LINGER_S = 8.0  # "at times many seconds"
RATE = 40


async def play(fleet, record):
    text = manifest(1, [route("r", "a.example", "/a/", "safe", "app")],
                    ["app"])
    operator = Operator(fleet.cores, fleet.control_port, record)
    if await asyncio.to_thread(operator.put, text, 20) is None:
        raise CannotRun("the manifest isn't acknowledged")
    workers = [Worker(f"i-{n}", "app", f"{fleet.net}.{n + 81}",
                      fleet.port + 19, zone, 0.06)
               for n, zone in enumerate(["ikeja", "ikeja", "ikeja", "lekki"])]
    for it in workers:
        await it.start(fleet.cores, fleet.control_port)
    await asyncio.sleep(3)
    answers = Counter()
    numbers = itertools.count()
    done = asyncio.Event()

    async def one(front):
        request = f"{next(numbers):016x}"
        status, why = await ask(front.ip, fleet.front_port, "a.example",
                                "/a/x", request)
        answers[status or why] += 1

    async def traffic():
        for front in itertools.cycle(fleet.fronts):
            if done.is_set():
                return
            asyncio.create_task(one(front))
            await asyncio.sleep(1 / RATE)

    asyncio.create_task(traffic())
    await asyncio.sleep(4)
    fleet.first_start = False
    node = fleet.cores[0]
    leaving = workers[:3]
    acknowledged = await asyncio.gather(
        *[it.deregister(node) for it in leaving])
    if TROUBLE:
        node.kill()
        record(f"{node.name} is killed")
    if None in acknowledged:
        raise CannotRun("a worker's leave wasn't acknowledged")
    for it, at in zip(leaving, acknowledged):
        record(f"{it.name} leaves: acknowledged by {node.name} "
               f"{time.monotonic() - at:.4f} s ago")
    await asyncio.sleep(RESTART_AFTER_S)
    if TROUBLE:
        node.start()
        record(f"{node.name} is back")
    settled = time.monotonic() + fleet.bounds["stable_window_ms"] / 1000
    await asyncio.sleep(LINGER_S)
    end = time.monotonic()
    done.set()
    await asyncio.sleep(4)
    late_requests = 0
    for it, at in zip(leaving, acknowledged):
        since = max(at + fleet.bounds["drain_ms"] / 1000, settled)
        late = [when for when, _ in it.arrived if since < when < end]
        late_requests += len(late)
        spread = (f", {late[0] - at:.1f} to {late[-1] - at:.1f} s after the "
                  "acknowledgement" if late else "")
        record(f"{it.name}: {len(late)} requests arrived too late{spread}")
    for answer, count in sorted(answers.items(), key=str):
        record(f"consumers: {count} requests ended with {answer}")
    return late_requests == 0


def body(record):
    fleet = Fleet(["ikeja", "lekki", "yaba"], ["ikeja", "lekki", "yaba"])
    try:
        fleet.start()
        return asyncio.run(play(fleet, record))
    finally:
        fleet.stop()


run_case(__file__, body)
