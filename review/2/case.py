"""Requests that are hidden in another request's body by its framing."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import runner as lib
import http_messages as http
from standins import Worker

ROUNDS = 5
ANSWER_S = 1.0


def headers(id, more=()):
    return [("Host", "listings.example"), ("X-Request-Id", id),
            ("Api-Key", "key-hall"), ("X-Deadline-Ms", "3000"), *more]


def head(first, fields):
    return ("\r\n".join([first] + ["%s: %s" % it for it in fields]) +
            "\r\n\r\n").encode()


# Each form yields the bytes of one request, whose body is `start` and then the
# text of another request.
def sound(id, inner):
    payload = b"two seats" + inner
    return head("POST /seat-book/x HTTP/1.1",
                headers(id, [("Content-Length", len(payload))])) + payload


def two_lengths(id, inner):
    payload = b"two seats" + inner
    return head("POST /seat-book/x HTTP/1.1",
                headers(id, [("Content-Length", len(payload) - len(inner)),
                             ("Content-Length", len(payload))])) + payload


def length_and_chunks(id, inner):
    payload = b"9\r\ntwo seats\r\n0\r\n\r\n" + inner
    return head("POST /seat-book/x HTTP/1.1",
                headers(id, [("Content-Length", len(payload)),
                             ("Transfer-Encoding", "chunked")])) + payload


def blank_in_name(id, inner):
    payload = b"9\r\ntwo seats\r\n0\r\n\r\n" + inner
    return (head("POST /seat-book/x HTTP/1.1",
                 headers(id, [("Content-Length", len(payload))]))[:-2] +
            b"Transfer-Encoding : chunked\r\n\r\n" + payload)


async def send(case, name, bytes_sent):
    machine = case.deployment.machines["front-1"]
    reader, writer = await asyncio.open_connection(
        machine.ip, case.deployment.front_port)
    writer.write(bytes_sent)
    statuses = []
    try:
        while True:
            answer = await asyncio.wait_for(http.read_head(reader), ANSWER_S)
            await asyncio.wait_for(
                http.read_body(reader, answer, is_answer=True), ANSWER_S)
            statuses.append("%d for %s" % (
                answer.status, answer.header("x-request-id", "no id")))
    except (http.BrokenOff, asyncio.TimeoutError, OSError):
        pass
    writer.close()
    case.record.add("%-18s answers: %s" % (name, ", ".join(statuses)))


async def steps(case):
    deployment = case.deploy(["ikeja"], ["ikeja", "lekki", "yaba"])
    worker = Worker(case.record, "i-app-1",
                    (deployment.new_ip(), deployment.worker_port),
                    "listings-app", "ikeja", deployment.control_addresses())
    case.workers.append(worker)
    await case.start(lib.manifest(1))
    forms = [two_lengths, length_and_chunks, blank_in_name]
    smuggled = []
    for n in range(ROUNDS):
        for form in forms:
            id = "outer-%s-%d" % (form.__name__, n)
            hidden = "hidden-%s-%d" % (form.__name__, n)
            inner = head("GET /listing-read/hidden HTTP/1.1", headers(hidden))
            chosen = form if case.trouble else sound
            await send(case, form.__name__, chosen(id, inner))
            if any(it[1] == hidden for it in worker.runs):
                smuggled.append(hidden)
    if not any(it[1].startswith("outer") for it in worker.runs):
        case.record.add("no outer request ran")
    for it in smuggled:
        case.breaks("UNASKED: %s ran, which was hidden in another request" %
                    it)


if __name__ == "__main__":
    lib.play(steps)
