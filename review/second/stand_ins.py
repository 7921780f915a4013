"""Operator, workers and consumers for the cases of the second review."""
import asyncio
import http.client
import json
import time

# How long an operator waits for an answer before it turns to another node.
OPERATOR_WAIT_S = 1.0


def route(name, host, prefix, kind, service, **more):
    fields = {"name": name, "host": host, "path_prefix": prefix, "kind": kind,
              "timeout_ms": 3000, "target_latency_ms": 300, "priority": 1,
              "service": service, "max_attempts": 2, "public": True,
              "sticky": False, "resumable": False, "gap_aim_ms": 300}
    return dict(fields, **more)


def manifest(version, routes, service_names):
    return {
        "version": version, "routes": routes,
        "services": [{"name": it, "health_path": "/healthz",
                      "max_connections": 110, "protocol": "h1", "tls": False}
                     for it in service_names],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": []}


def control_call(ip, port, method, path, body=None, wait=OPERATOR_WAIT_S):
    """Returns status and body; status 0 without an answer."""
    try:
        channel = http.client.HTTPConnection(ip, port, timeout=wait)
        text = None if body is None else json.dumps(body)
        channel.request(method, path, text,
                        {"Content-Type": "application/json"})
        answer = channel.getresponse()
        data = answer.read()
        channel.close()
        return answer.status, data
    except OSError as error:
        return 0, str(error).encode()
    except http.client.HTTPException as error:
        return 0, repr(error).encode()


class Operator:
    """Sends an order again, to the next node, until it is acknowledged."""

    def __init__(self, nodes, port, record):
        self.nodes, self.port, self.record = nodes, port, record
        self.next = 0

    def put(self, body, for_s):
        """Returns the node that acknowledged; None if none did in time."""
        end = time.monotonic() + for_s
        pause = 0.1
        while time.monotonic() < end:
            node = self.nodes[self.next % len(self.nodes)]
            status, data = control_call(node.ip, self.port, "POST",
                                        "/Config.Replace", body)
            self.record(f"operator: manifest {body['version']} to "
                        f"{node.name}: {status} {data[:100].decode()}")
            if status == 200:
                return node
            if status in (400, 409, 412, 413, 422):
                return None
            self.next += 1
            time.sleep(pause)
            pause = min(1.5 * pause, 1.0)
        return None

    def read(self, for_s):
        """Returns the version read back; None if none came in time."""
        end = time.monotonic() + for_s
        while time.monotonic() < end:
            node = self.nodes[self.next % len(self.nodes)]
            self.next += 1
            status, data = control_call(node.ip, self.port, "GET",
                                        "/Config.Get")
            self.record(f"operator: read at {node.name}: {status} "
                        f"{data[:100].decode() if status != 200 else ''}")
            if status == 200:
                return json.loads(data)["version"]
            time.sleep(0.3)
        return None


class Worker:
    """Serves plain requests and reports itself, as PROTOCOL describes."""

    def __init__(self, name, service, ip, port, zone, work_s):
        self.name, self.service, self.zone = name, service, zone
        self.ip, self.port, self.work_s = ip, port, work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.arrived = []  # (monotonic time, request id)
        self.running = set()  # request ids
        self.channels = set()

    async def start(self, nodes, control_port):
        self.nodes, self.control_port = nodes, control_port
        self.server = await asyncio.start_server(self._serve, self.ip,
                                                 self.port)
        self.reports = asyncio.create_task(self._report())

    async def crash(self):
        """Ends: all channels are reset, and the port is closed."""
        self.reports.cancel()
        self.server.close()
        for it in list(self.channels):
            it.transport.abort()

    async def _serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
                lines = head.split("\r\n")
                fields = {}
                for it in lines[1:]:
                    name, colon, value = it.partition(":")
                    if colon:
                        fields[name.strip().lower()] = value.strip()
                length = int(fields.get("content-length", "0"))
                await reader.readexactly(length)
                await self._answer(fields, writer)
        except (asyncio.IncompleteReadError, ConnectionError,
                asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def _answer(self, fields, writer):
        request = fields.get("x-request-id")
        if request is None:  # a status check
            writer.write(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.name}\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        self.arrived.append((time.monotonic(), request))
        head = f"X-Request-Id: {request}\r\n"
        if fields.get("x-expect-instance", self.name) != self.name:
            writer.write(f"HTTP/1.1 421 Misdirected Request\r\n{head}"
                         "X-Not-Executed: 1\r\n"
                         "Content-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return
        self.running.add(request)
        await asyncio.sleep(self.work_s)
        self.running.discard(request)
        body = f"{request} by {self.name}".encode()
        writer.write(f"HTTP/1.1 200 OK\r\n{head}"
                     f"X-Server-Stamp: {self.name}.{request}\r\n"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        await writer.drain()

    async def call_control(self, node, path, fields):
        """Returns whether the node acknowledged within a second."""
        status, _ = await asyncio.to_thread(
            control_call, node.ip, self.control_port, "POST", path, fields)
        return 200 <= status < 300

    async def _report(self):
        at = sum(self.name.encode()) % len(self.nodes)
        while True:
            self.sequence += 1
            fields = {"service": self.service,
                      "address": f"{self.ip}:{self.port}", "zone": self.zone,
                      "version": "v1", "slots": 6, "state": "ready",
                      "cold_remaining_ms": 0, "sequence": self.sequence,
                      "born": self.born}
            for n in range(len(self.nodes)):
                node = self.nodes[(at + n) % len(self.nodes)]
                if await self.call_control(
                        node, f"/Instances.Heartbeat/{self.name}", fields):
                    break
            await asyncio.sleep(1.2)

    async def deregister(self, node):
        """Leaves; serves on. Returns when it was acknowledged, or None."""
        self.reports.cancel()
        acknowledged = await self.call_control(
            node, f"/Instances.Deregister/{self.name}", {"born": self.born})
        return time.monotonic() if acknowledged else None


async def ask(ip, port, host, path, request, wait_s=4.0):
    """One request of a consumer on a new channel: the status, or 0 and why."""

    async def exchange():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n"
                         f"X-Request-Id: {request}\r\n"
                         "X-Deadline-Ms: 3000\r\n\r\n".encode())
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            for it in head.split("\r\n"):
                if it.lower().startswith("content-length:"):
                    await reader.readexactly(int(it.split(":")[1]))
            return int(head.split(" ")[1]), ""
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), wait_s)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
        return 0, type(e).__name__
