"""A control machine is killed right after it acknowledged a deregistration."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import runner as lib
import http_messages as http
from deployment import BOUNDS, CannotRun
from standins import Worker

WORK_S = 0.05
LINGER_S = 8.0        # how long a worker serves after its deregistration
CONSUMERS = 12
WORKERS = 16
LEAVING = 2           # a share of 0.125, as scale_in takes away
PAUSE_S = 0.02
# From then on the other machines are in touch again. The margin covers what
# the clocks of the stand-ins may differ from the judge's.
TOUCH_S = BOUNDS["stable_window_ms"] / 1000 + 0.1
DRAIN_S = BOUNDS["drain_ms"] / 1000


async def consume(case, number, sent):
    """Reads listings, each request on a channel of its own."""
    deployment = case.deployment
    fronts = deployment.of_role("entry")
    n = 0
    while True:
        n += 1
        id = "c%d-%d" % (number, n)
        machine = fronts[(number + n) % len(fronts)]
        sent[id] = (case.record.now(), machine.name)
        try:
            answer = await http.call(
                (machine.ip, deployment.front_port), "GET", "/listing-read/x",
                [("Host", "listings.example"), ("X-Request-Id", id),
                 ("Api-Key", "key-hall"), ("X-Deadline-Ms", "3000")],
                timeout=3)
            case.record.add("answer  %s: %d by %s" % (id, answer.status,
                                                      machine.name))
        except (OSError, http.BrokenOff, asyncio.TimeoutError) as e:
            case.record.add("answer  %s: none from %s (%s)" % (
                id, machine.name, type(e).__name__))
        await asyncio.sleep(PAUSE_S)


async def leave(case, worker, first):
    """Deregisters a worker that never reported that it drains."""
    at = await worker.deregister(first)
    if at != first:
        raise CannotRun("%s was not deregistered at once" % worker.id)
    acked = case.record.now()
    case.record.add("%s is acknowledged to be gone" % worker.id)
    asyncio.get_running_loop().call_later(LINGER_S, worker.stop)
    return acked


async def steps(case):
    deployment = case.deploy(["ikeja", "lekki"], ["ikeja", "lekki", "yaba"])
    for n in range(WORKERS):
        case.workers.append(Worker(
            case.record, "i-app-%d" % n,
            (deployment.new_ip(), deployment.worker_port), "listings-app",
            "ikeja", deployment.control_addresses(), work_s=WORK_S))
    await case.start(lib.manifest(1))
    sent = {}
    for n in range(CONSUMERS):
        case.task(consume(case, n, sent))
    await asyncio.sleep(4)      # all machines are in touch

    # Some workers are taken away together.
    control = deployment.machines["core-2"]
    address = (control.ip, deployment.control_port)
    leaving = case.workers[:LEAVING]
    acked = {}
    # They leave right after a status report of the last one.
    reports = leaving[-1].sequence
    while leaving[-1].sequence == reports:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    for it in leaving:
        acked[it.id] = await leave(case, it, address)
    if case.trouble:
        deployment.kill(control.name)
    killed = case.record.now()
    if case.trouble:
        case.record.add("%s was killed %.1f ms after its last ack" % (
            control.name, 1000 * (killed - max(acked.values()))))
    await asyncio.sleep(LINGER_S + 0.5)

    for it in leaving:
        late = [(at, id) for at, id, _ in it.runs
                if at > acked[it.id] + DRAIN_S and
                sent[id][0] > killed + TOUCH_S]
        all_late = [at for at, id, _ in it.runs if at > acked[it.id] + DRAIN_S]
        case.record.add(
            "%s: %d requests later than drain_ms after the ack, %d of them "
            "sent when the machines were in touch" %
            (it.id, len(all_late), len(late)))
        for at, id in late:
            case.breaks("DRAIN: %s reached %s %.2f s after the ack, sent on by "
                        "%s" % (id, it.id, at - acked[it.id], sent[id][1]))


if __name__ == "__main__":
    lib.play(steps)
