"""A tenant is isolated by a new manifest; others go on with its KV cache."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import runner as lib
import http_messages as http
from deployment import BOUNDS, CannotRun
from standins import Worker

SETTLE_S = BOUNDS["config_ms"] / 1000 + 0.5
SHARED = "5c1e07a2"
ROUNDS = 6


class ModelWorker(Worker):
    """Keeps the parts of prompts under the salt that the request carries, and
    records which request made each part that a later one uses."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.uses = []      # (seconds, request, tenant, part, maker's tenant)

    async def run(self, request, writer):
        salt = request.header("x-cache-salt")
        user = request.header("x-tenant")
        kept = True         # a part is found only if all before it are
        for it in request.header("x-prompt-prefix").split(","):
            part, tokens = it.split(":")
            key = (salt, part)
            kept = kept and key in self.cache
            if kept:
                self.uses.append((self.record.now(),
                                  request.header("x-request-id"), user, part,
                                  self.cache[key]))
            else:
                self.cache[key] = user
                self.cache_events.append([len(self.cache_events) + 1, "+",
                                          salt, part, int(tokens),
                                          self.model])
        await super().run(request, writer)


async def ask(case, id, key):
    machine = case.deployment.machines["front-1"]
    answer = await http.call(
        (machine.ip, case.deployment.front_port), "POST", "/sheet-tag/x",
        [("Host", "listings.example"), ("X-Request-Id", id), ("Api-Key", key),
         ("X-Deadline-Ms", "6000"), ("X-Model", "m0"),
         ("X-Token-Usage", "9190,13"),
         ("X-Prompt-Prefix", "%s:6300,%s:2890" % (SHARED, id))],
        b"event sheet", timeout=6)
    case.record.add("%s is answered %d" % (id, answer.status))
    return answer.status


def tenants(isolated):
    return [lib.tenant("hall", "key-hall", isolated=isolated),
            lib.tenant("club", "key-club")]


async def steps(case):
    deployment = case.deploy(["ikeja", "lekki"], ["ikeja", "lekki", "yaba"])
    for n in range(2):
        case.workers.append(ModelWorker(
            case.record, "i-pool-%d" % n,
            (deployment.new_ip(), deployment.worker_port), "model-pool",
            "ikeja", deployment.control_addresses(), model="m0"))
    # Without the trouble, the tenant is isolated from the beginning.
    operator = await case.start(
        lib.manifest(1, tenants=tenants(not case.trouble)))
    for n in range(ROUNDS):
        if await ask(case, "a%d" % n, "key-hall") != 200:
            raise CannotRun("a request isn't served")
    answer, _ = await operator.put_manifest(
        lib.manifest(7, tenants=tenants(True)))
    acked = case.record.now()
    case.record.add("the manifest in which hall is isolated is acknowledged: "
                    "%d" % answer.status)
    await asyncio.sleep(SETTLE_S)
    for n in range(ROUNDS):
        await ask(case, "b%d" % n, "key-club")
    for worker in case.workers:
        for at, id, user, part, maker in worker.uses:
            foreign = user != maker and "hall" in (user, maker)
            if foreign and at > acked + SETTLE_S - 0.5:
                case.breaks(
                    "WALL: %s of %s used part %s at %s, which a request of %s "
                    "made" % (id, user, part, worker.id, maker))


if __name__ == "__main__":
    lib.play(steps)
