"""One frozen front machine wakes after many changes of a large manifest."""

import asyncio
import json
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import runner as lib
import http_messages as http
from standins import Worker

FREEZE_S = 7.4
CHANGES = 140
BIG_CONFIGS = 2
ROUTES_EACH = 350    # count of big_config
WORK_S = 0.15
CONSUMERS = 8         # at each front machine that isn't frozen
MOST_CUT = 3          # "more than three times" breaks the rule
RESTART_S = 0.3
MEMORY_MB = {"entry": 110, "control": 256}


def body(version, more):
    it = lib.manifest(version)
    it["routes"] += more
    return json.dumps(it).encode()


class Platform:
    """Kills a process that uses more than memory_mb, and starts it again."""

    def __init__(self, case):
        self.case = case
        self.highest = {}
        self.ends = []

    # Anonymous memory only: what the process itself has allocated.
    def used(self, process):
        try:
            with open("/proc/%d/status" % process.pid) as it:
                for line in it:
                    if line.startswith("RssAnon:"):
                        return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    async def watch(self):
        deployment = self.case.deployment
        while True:
            for it in deployment.machines.values():
                used = self.used(it.process)
                if used > self.highest.get(it.name, 0):
                    self.highest[it.name] = used
                limit = MEMORY_MB[it.role] * 1000 * 1000
                if used > limit or it.process.poll() is not None:
                    deployment.kill(it.name)
                    self.ends.append(it.name)
                    self.case.record.add(
                        "%s uses %.0f MB of %d MB and is killed" %
                        (it.name, used / 1e6, limit / 1e6))
                    self.case.task(self.restart(it.name))
                    await asyncio.sleep(RESTART_S + 0.05)
            await asyncio.sleep(0.01)

    async def restart(self, name):
        await asyncio.sleep(RESTART_S)
        self.case.deployment.start(name)


class Consumer:
    """Sends one booking after the other on a kept channel."""

    def __init__(self, case, number, machine, cut):
        self.case = case
        self.name = "c%02d" % number
        self.machine = machine
        self.cut = cut
        self.answered = 0
        self.sent = 0

    async def run(self):
        address = (self.machine.ip, self.case.deployment.front_port)
        while True:
            try:
                channel = await asyncio.wait_for(
                    asyncio.open_connection(*address), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
                continue
            await self.use(*channel)

    async def use(self, reader, writer):
        before = 0      # answers on this channel
        while True:
            self.sent += 1
            id = "%s-%d" % (self.name, self.sent)
            try:
                writer.write(http.request_bytes(
                    "POST", "/seat-book/x",
                    [("Host", "listings.example"), ("X-Request-Id", id),
                     ("Api-Key", "key-hall"), ("X-Deadline-Ms", "3000")],
                    b"two seats"))
                answer = await http.read_head(reader)
                await http.read_body(reader, answer, is_answer=True)
            except (http.BrokenOff, OSError):
                writer.close()
                self.case.record.add("cut     %s on a kept channel to %s" %
                                     (id, self.machine.name))
                if before:
                    self.cut.append((id, self.machine.name))
                return
            before += 1
            self.answered += 1
            self.case.record.add("answer  %s: %d by %s" % (
                id, answer.status, self.machine.name))
            if answer.status != 200:
                await asyncio.sleep(0.2)


async def steps(case):
    deployment = case.deploy(["ikeja", "lekki", "ikeja"],
                             ["ikeja", "lekki", "yaba"])
    for n in range(4):
        case.workers.append(Worker(
            case.record, "i-app-%d" % n,
            (deployment.new_ip(), deployment.worker_port), "listings-app",
            "ikeja", deployment.control_addresses(), work_s=WORK_S))
    operator = await case.start(lib.manifest(1))
    more = [lib.plain_route("idle-%d" % n, "/idle-%d/more/" % n, "safe",
                            host="idle-%d.example" % n)
            for n in range(BIG_CONFIGS * ROUTES_EACH)]
    for n in range(BIG_CONFIGS):
        await operator.order("POST", "/Config.Replace",
                             body(2 + n, more[:(n + 1) * ROUTES_EACH]))
    cut = []
    consumers = []
    for n in range(2 * CONSUMERS):
        machine = deployment.machines["front-1" if n % 2 else "front-3"]
        consumers.append(Consumer(case, n, machine, cut))
        case.task(consumers[-1].run())
    await asyncio.sleep(4)      # all machines are in touch
    platform = Platform(case)
    case.task(platform.watch())

    began = time.monotonic()
    if case.trouble:
        case.record.add("front-2 freezes")
        deployment.signal("front-2", signal.SIGSTOP)
    for n in range(CHANGES):
        await asyncio.sleep(
            max(0, began + 0.2 + n * (FREEZE_S - 0.6) / CHANGES -
                time.monotonic()))
        await operator.order("POST", "/Config.Replace", body(2 + BIG_CONFIGS + n, more))
    await asyncio.sleep(max(0, began + FREEZE_S - time.monotonic()))
    if case.trouble:
        case.record.add("front-2 wakes")
        deployment.signal("front-2", signal.SIGCONT)
    await asyncio.sleep(8)

    ran = {it[1] for worker in case.workers for it in worker.runs}
    lost = [it for it in cut if it[0] in ran]
    for name, used in sorted(platform.highest.items()):
        case.record.add("%s used %.0f MB at most" % (name, used / 1e6))
    case.record.add("%d bookings answered, %d cut after they were passed on" %
                    (sum(it.answered for it in consumers), len(lost)))
    if len(lost) > MOST_CUT:
        case.breaks("LOST: %d requests on kept channels to machines in touch "
                    "were passed on and got no answer" % len(lost))


if __name__ == "__main__":
    lib.play(steps)
