"""Another writer reports workers of a service that isn't named here."""
import asyncio
import itertools
import time
from collections import Counter

from fleet import CannotRun, Fleet, TROUBLE, run_case
from stand_ins import Operator, Worker, ask, manifest, route

RATE = 20  # of each kind of request
DAY_S = 50.0
# A kind of request that is served less often than this part of all has starved.
STARVED = 0.25


async def play(fleet, record):
    text = manifest(1, [
        route("book", "a.example", "/book/", "unsafe", "app"),
        route("read", "a.example", "/read/", "safe", "lists")],
        ["app", "lists"])
    operator = Operator(fleet.cores, fleet.control_port, record)
    if await asyncio.to_thread(operator.put, text, 20) is None:
        raise CannotRun("the manifest isn't acknowledged")
    zones = ["ikeja", "lekki", "yaba"]
    workers = [Worker(f"i-{n}", "app" if n < 4 else "lists",
                      f"{fleet.net}.{n + 81}", fleet.port + 19, zones[n % 3],
                      0.02) for n in range(7)]
    for it in workers:
        await it.start(fleet.cores, fleet.control_port)
    await asyncio.sleep(3)
    begun = time.monotonic()
    answers = Counter()
    late_answers = Counter()
    numbers = itertools.count()
    reported = asyncio.Event()
    done = asyncio.Event()

    async def one(front, kind):
        request = f"{kind}-{next(numbers):016x}"
        late = reported.is_set()
        status, why = await ask(front.ip, fleet.front_port, "a.example",
                                f"/{kind}/x", request)
        answers[kind, status or why] += 1
        if late:
            late_answers[kind, status or why] += 1

    async def traffic(kind):
        for front in itertools.cycle(fleet.fronts):
            if done.is_set():
                return
            asyncio.create_task(one(front, kind))
            await asyncio.sleep(1 / RATE)

    for kind in ("book", "read"):
        asyncio.create_task(traffic(kind))
    await asyncio.sleep(4)
    for n, worker in enumerate(workers[:4]):
        if not TROUBLE:
            continue
        odd = {"service": "billing", "address": f"{worker.ip}:{worker.port}",
               "zone": worker.zone, "version": "v1", "slots": 6,
               "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
               "born": int(time.time() * 1000)}
        taken = await worker.call_control(
            fleet.cores[0], f"/Instances.Heartbeat/b-{n}", odd)
        record(f"another writer reports b-{n} of service billing at the "
               f"address of {worker.name}: "
               f"{'acknowledged' if taken else 'not acknowledged'}")
    await asyncio.sleep(3)
    reported.set()
    await asyncio.sleep(DAY_S - (time.monotonic() - begun))
    done.set()
    await asyncio.sleep(5)
    for title, counts in (("whole day", answers),
                          ("from 3 s after these reports on", late_answers)):
        for (kind, answer), count in sorted(counts.items(), key=str):
            record(f"{title}: {count} requests for '{kind}' ended with "
                   f"{answer}")
    record(f"workers ran {sum(len(it.arrived) for it in workers)} requests; "
           f"each of them made {min(it.sequence for it in workers)} reports "
           "or more")

    def served(kinds):
        asked = sum(c for (k, _), c in answers.items() if k in kinds)
        good = sum(c for (k, a), c in answers.items()
                   if k in kinds and a == 200)
        return good / asked

    every = served(("book", "read"))
    book = served(("book",))
    record(f"served: 'book' {book:.3f}, all {every:.3f}")
    return book >= STARVED * every


def body(record):
    fleet = Fleet(["ikeja", "lekki", "yaba"], ["ikeja", "lekki", "yaba"])
    try:
        fleet.start()
        return asyncio.run(play(fleet, record))
    finally:
        fleet.stop()


run_case(body)
