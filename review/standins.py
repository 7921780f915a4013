"""Stand-ins for the workers, the operator and the consumers.

They do what PROTOCOL.md tells of sound ones, and nothing else unless a case
asks for it.
"""

import asyncio
import json
import random
import time

import http_messages as http

HEARTBEAT_S = 1.2


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.out = open(path, "w")

    def now(self):
        return time.monotonic() - self.began

    def add(self, text):
        self.out.write("%9.3f  %s\n" % (self.now(), text))
        self.out.flush()


class Worker:
    """A plain worker, or a model worker if `model` is set."""

    def __init__(self, record, id, address, service, zone, control,
                 model=None, work_s=0.02, events=10, event_gap_s=0.02):
        self.record = record
        self.id = id
        self.address = address
        self.service = service
        self.zone = zone
        self.control = list(control)
        self.model = model
        self.version = 1
        self.work_s = work_s
        self.events = events
        self.event_gap_s = event_gap_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.beats = True
        self.serving = True
        self.runs = []      # (seconds, request id, headers) as they began
        self.orders = []    # (seconds, body, answer)
        self.order_count = 0
        self.highest_fence = 0
        self.cache = {}     # (salt, part) -> whatever the case stores
        self.cache_events = []
        self.server = None
        self.tasks = []
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.tasks.append(asyncio.create_task(self.beat()))

    def stop(self):
        self.serving = False
        for it in self.tasks:
            it.cancel()
        if self.server:
            self.server.close()
        for it in list(self.writers):
            it.close()

    def report(self):
        self.sequence += 1
        body = {"service": self.service,
                "address": "%s:%d" % self.address, "zone": self.zone,
                "version": "v1", "slots": 64, "state": self.state,
                "cold_remaining_ms": 0, "sequence": self.sequence,
                "born": self.born}
        if self.model:
            body["stage"] = "mixed"
            body["models"] = self.models()
        return json.dumps(body).encode()

    def models(self):
        return [{"name": self.model, "version": self.version, "adapters": []}]

    async def tell(self, path, body, first=None):
        """Sends a report to one control machine after the other.

        Returns the address that acknowledged it; None if none did.
        """
        order = random.sample(self.control, len(self.control))
        if first is not None:
            order.remove(first)
            order.insert(0, first)
        for it in order:
            try:
                answer = await http.call(
                    it, "POST", path, [("Content-Type", "application/json")],
                    body, timeout=1.0)
            except (OSError, http.BrokenOff, asyncio.TimeoutError):
                continue
            if 200 <= answer.status < 300:
                return it
        return None

    async def beat(self):
        at = None
        while self.beats:
            at = await self.tell("/Instances.Heartbeat/" + self.id,
                                 self.report(), at)
            await asyncio.sleep(HEARTBEAT_S)

    async def deregister(self, first=None):
        self.beats = False
        body = json.dumps({"born": self.born}).encode()
        return await self.tell("/Instances.Deregister/" + self.id, body, first)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while self.serving:
                request = await http.read_head(reader)
                await http.read_body(reader, request)
                await self.handle(request, writer)
        except (http.BrokenOff, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def reply(self, writer, status, headers=(), body=b"{}"):
        lines = ["HTTP/1.1 %d X" % status] + ["%s: %s" % it for it in headers]
        lines.append("Content-Length: %d" % len(body))
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)

    async def handle(self, request, writer):
        path = request.target.split("?")[0]
        expected = request.header("x-expect-instance")
        if expected and expected != self.id:
            self.reply(writer, 421, [("X-Not-Executed", "1"),
                       ("X-Request-Id", request.header("x-request-id"))])
            return
        if path == "/healthz":
            self.reply(writer, 200, [("X-Instance-Id", self.id)], b"")
        elif path == "/report":
            self.reply(writer, 200, [("Content-Type", "application/json")],
                       json.dumps({"stage": "mixed", "models": self.models(),
                                   "busy": False,
                                   "sequence": self.order_count,
                                   "waiting": 0, "running": 0, "kv_used": 0,
                                   "kv_total": 100000,
                                   "handles": 0}).encode())
        elif path == "/order":
            self.take_order(request, writer)
        elif path == "/kv-events":
            await self.tell_cache(request, writer)
        else:
            await self.run(request, writer)
        await writer.drain()

    def take_order(self, request, writer):
        body = json.loads(request.body)
        fence = body["fencing_token"]
        if fence < self.highest_fence:
            status = 412
        elif body.get("expect", self.order_count) != self.order_count:
            status = 409
        elif body["version"] <= self.version:
            status = 200
        else:
            status = 202
            self.order_count += 1
            self.version = body["version"]
            self.cache.clear()
        self.highest_fence = max(self.highest_fence, fence)
        self.orders.append((self.record.now(), body, status))
        self.record.add("order to %s: version %d, holder %s, token %d -> %d" %
                        (self.id, body["version"], body["holder"], fence,
                         status))
        self.reply(writer, status)

    async def tell_cache(self, request, writer):
        since = int(request.target.split("since=")[1].split("&")[0])
        wait_ms = int(request.header("wait-ms", "0"))
        until = time.monotonic() + min(wait_ms, 1000) / 1000
        while len(self.cache_events) <= since and time.monotonic() < until:
            await asyncio.sleep(0.02)
        self.reply(writer, 200, [("Content-Type", "application/json")],
                   json.dumps({"boot_epoch": self.born,
                               "next": len(self.cache_events), "lost": False,
                               "events": self.cache_events[since:]}).encode())

    async def run(self, request, writer):
        id = request.header("x-request-id")
        wanted = request.header("x-expect-version")
        if self.model and wanted and int(wanted) != self.version:
            self.reply(writer, 421, [("X-Not-Executed", "1"),
                                     ("X-Request-Id", id)])
            return
        self.runs.append((self.record.now(), id, request.headers))
        self.record.add("run     %s at %s" % (id, self.id))
        stamp = "st-%s-%s" % (self.id, id)
        common = [("X-Request-Id", id), ("X-Server-Stamp", stamp)]
        await asyncio.sleep(self.work_s)
        if not self.model:
            self.reply(writer, 200, common, b"done " + id.encode())
            return
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                "X-Weight-Versions: %d" % self.version]
        head += ["%s: %s" % it for it in common]
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        begin = int(request.header("last-event-id", "0") or 0)
        for n in range(begin + 1, self.events + 1):
            data = b"id: %d\ndata: piece\n\n" % n
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(self.event_gap_s)
        writer.write(b"0\r\n\r\n")


class Operator:
    def __init__(self, record, control):
        self.record = record
        self.control = list(control)

    async def order(self, method, path, body=b"", first=None, timeout_s=15):
        """Sends an order until it is acknowledged; returns (answer, address)."""
        until = time.monotonic() + timeout_s
        n = 0
        while time.monotonic() < until:
            order = random.sample(self.control, len(self.control))
            if first is not None and n == 0:
                order.remove(first)
                order.insert(0, first)
            n += 1
            for it in order:
                try:
                    answer = await http.call(
                        it, method, path,
                        [("Content-Type", "application/json")], body,
                        timeout=1.0)
                except (OSError, http.BrokenOff, asyncio.TimeoutError):
                    continue
                if answer.status < 500 and answer.status not in (408, 429):
                    self.record.add("order   %s %s -> %d by %s" %
                                    (method, path, answer.status, it[0]))
                    return answer, it
            await asyncio.sleep(0.1)
        return None, None

    async def put_manifest(self, manifest, **args):
        return await self.order("POST", "/Config.Replace",
                                json.dumps(manifest).encode(), **args)


async def wait_ready(deployment, timeout_s=20):
    """Waits until every front machine reports that it is ready."""
    until = time.monotonic() + timeout_s
    for it in deployment.of_role("entry"):
        while True:
            try:
                answer = await http.call(
                    (it.ip, deployment.readiness_port), "GET", "/readyz")
                if answer.status == 200:
                    break
            except (OSError, http.BrokenOff, asyncio.TimeoutError):
                pass
            if time.monotonic() > until:
                return False
            await asyncio.sleep(0.05)
    return True
