"""A front machine freezes for seconds while others serve much traffic.

Not a case: the assertion that ends the process is a library's (KNOWN-RED,
issue 38). Kept as a way to bring it about: run it with this folder in
PYTHONPATH; it writes record.txt beside itself and exits like a case.
"""
import asyncio
import itertools
from collections import Counter

import signal

from fleet import CannotRun, Fleet, TROUBLE, run_case
from stand_ins import Operator, Worker, ask, manifest, route

FREEZES = 10
FREEZE_S = 4.0
BETWEEN_S = 4.0
# Requests a second at each front machine; the first one is frozen.
RATES = [10, 130, 46]


async def play(fleet, record):
    text = manifest(1, [route("r", "a.example", "/a/", "safe", "app")],
                    ["app"])
    operator = Operator(fleet.cores, fleet.control_port, record)
    if await asyncio.to_thread(operator.put, text, 20) is None:
        raise CannotRun("the manifest isn't acknowledged")
    workers = [Worker(f"i-{n}", "app", f"{fleet.net}.{n + 81}",
                      fleet.port + 19, zone, 0.02)
               for n, zone in enumerate(["ikeja", "lekki", "yaba", "ikeja"])]
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
        answers[front.name, status or why] += 1

    async def traffic(front, rate):
        while not done.is_set():
            asyncio.create_task(one(front))
            await asyncio.sleep(1 / rate)

    for front, rate in zip(fleet.fronts, RATES):
        asyncio.create_task(traffic(front, rate))
    await asyncio.sleep(2)
    fleet.first_start = False
    frozen = fleet.fronts[0]
    ends = 0
    for n in range(FREEZES):
        if TROUBLE:
            record(f"freeze {n + 1}: {frozen.name} stands still")
            frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        if TROUBLE:
            frozen.signal(signal.SIGCONT)
            record(f"{frozen.name} goes on")
        await asyncio.sleep(BETWEEN_S)
        for it in fleet.machines:
            if not it.runs():
                ends += 1
                code = it.process.returncode
                record(f"THE PROCESS OF {it.name} ENDED BY ITSELF, code "
                       f"{code}; its last line: {it.last_lines()[-1][:160]}")
                it.start()
                await asyncio.sleep(2)
    done.set()
    await asyncio.sleep(5)
    for (front, answer), count in sorted(answers.items(), key=str):
        record(f"{front}: {count} requests ended with {answer}")
    record(f"workers ran {sum(len(it.arrived) for it in workers)} requests")
    record(f"processes ended by themselves {ends} times")
    return ends == 0


def body(record):
    fleet = Fleet(["ikeja", "lekki", "yaba"], ["ikeja", "lekki", "yaba"])
    try:
        fleet.start()
        return asyncio.run(play(fleet, record))
    finally:
        fleet.stop()


run_case(__file__, body)
