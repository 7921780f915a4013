"""A small HTTP/1.1 client and server for the stand-ins of the cases."""

import asyncio


class BrokenOff(Exception):
    """The connection ended before the message was complete."""


class Message:
    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        for key, value in self.headers:
            if key == name:
                return value
        return default

    @property
    def status(self):
        return int(self.first.split()[1])

    @property
    def method(self):
        return self.first.split()[0]

    @property
    def target(self):
        return self.first.split()[1]


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError) as e:
        raise BrokenOff("no head") from e
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            headers.append((key.strip().lower(), value.strip()))
    return Message(lines[0], headers)


async def read_body(reader, message, on_bytes=None, is_answer=False):
    """Reads the body; calls `on_bytes` with each part as it arrives."""
    chunks = []

    def add(data):
        chunks.append(data)
        if on_bytes:
            on_bytes(data)

    try:
        if message.header("transfer-encoding").lower().endswith("chunked"):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0],
                           16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    break
                add(data[:-2])
        elif message.header("content-length"):
            add(await reader.readexactly(int(message.header("content-length"))))
        elif is_answer:
            while data := await reader.read(65536):
                add(data)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError) as e:
        message.body = b"".join(chunks)
        raise BrokenOff("inside the body") from e
    message.body = b"".join(chunks)
    return message


def request_bytes(method, target, headers, body=b""):
    lines = ["%s %s HTTP/1.1" % (method, target)]
    lines += ["%s: %s" % it for it in headers]
    if body or method in ("POST", "PUT"):
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(address, method, target, headers=(), body=b"", timeout=1.0):
    """One request on a connection of its own; returns the whole answer."""

    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            names = [it[0].lower() for it in headers]
            extra = [] if "host" in names else [("Host", address[0])]
            writer.write(request_bytes(method, target,
                                       extra + list(headers), body))
            answer = await read_head(reader)
            return await read_body(reader, answer, is_answer=True)
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)
