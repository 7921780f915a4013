"""A worker runs bookings and then fails them with 503."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

from lib import case as lib
from lib import http
from lib.standins import Worker

BOOKINGS = 150
WORKERS = 8           # of which one fails: a share of 0.125
FAILED_PART = 0.4     # x of srv_grey


class FailingWorker(Worker):
    """Runs each booking, and answers some with 503, without X-Not-Executed."""

    booked = []         # (booking, request id) of all workers' runs
    fails = False

    async def run(self, request, writer):
        id = request.header("x-request-id")
        self.runs.append((self.record.now(), id, request.headers))
        self.booked.append((request.body.decode(), id))
        self.record.add("run     %s at %s books %s" %
                        (id, self.id, request.body.decode()))
        await asyncio.sleep(self.work_s)
        failed = self.fails and len(self.runs) % 5 < 5 * FAILED_PART
        self.reply(writer, 503 if failed else 200,
                   [("X-Request-Id", id),
                    ("X-Server-Stamp", "st-%s-%s" % (self.id, id))],
                   b"payment service failed" if failed else b"booked")


async def book(case, booking):
    """A consumer: asks again only after a promise that nothing has run."""
    machine = case.deployment.machines["front-1"]
    for attempt in (1, 2):
        id = "%s-%d" % (booking, attempt)
        answer = await http.call(
            (machine.ip, case.deployment.front_port), "POST", "/seat-book/x",
            [("Host", "listings.example"), ("X-Request-Id", id),
             ("Api-Key", "key-hall"), ("X-Deadline-Ms", "3000")],
            booking.encode(), timeout=4)
        case.record.add("%s is answered %d" % (id, answer.status))
        if any(it[1] == id for it in FailingWorker.booked) and (
                answer.status in (408, 421, 429, 503)):
            case.breaks("REFUSED: %s has run and is answered %d" %
                        (id, answer.status))
        if answer.status not in (408, 421, 429, 503):
            return


async def steps(case):
    deployment = case.deploy(["ikeja"], ["ikeja", "lekki", "yaba"])
    for n in range(WORKERS):
        case.workers.append(FailingWorker(
            case.record, "i-app-%d" % n,
            (deployment.new_ip(), deployment.worker_port), "listings-app",
            "ikeja", deployment.control_addresses()))
    case.workers[0].fails = case.trouble
    await case.start(lib.manifest(1))
    for n in range(BOOKINGS):
        await book(case, "seat-%d" % n)
    runs = {}
    for booking, _ in FailingWorker.booked:
        runs[booking] = runs.get(booking, 0) + 1
    case.record.add("%d of %d bookings ran twice" %
                    (sum(it > 1 for it in runs.values()), BOOKINGS))


if __name__ == "__main__":
    lib.play(FOLDER, steps)
