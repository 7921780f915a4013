"""Runs one case: exit code 1 if the rule was broken, 0 if it held, 2 if the
case couldn't be played. With TROUBLE=0 the disruption is left out."""

import asyncio
import os
import signal
import sys
import threading
import traceback

from deployment import CannotRun, Deployment
from standins import Operator, Record, wait_ready

LONGEST_S = 110


class Case:
    def __init__(self, record):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(record)
        self.deployment = None
        self.workers = []
        self.tasks = []
        self.broken = []

    def deploy(self, fronts, cores, **args):
        self.deployment = Deployment(fronts, cores, **args)
        return self.deployment

    def breaks(self, text):
        self.broken.append(text)
        self.record.add("BROKEN  " + text)

    def task(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))
        return self.tasks[-1]

    async def start(self, manifest):
        """Starts all machines, puts the manifest, starts the workers."""
        self.deployment.start_all()
        operator = Operator(self.record, self.deployment.control_addresses())
        answer, _ = await operator.put_manifest(manifest)
        if answer is None or answer.status != 200:
            raise CannotRun("the first manifest isn't acknowledged")
        for it in self.workers:
            await it.start()
        if not await wait_ready(self.deployment):
            raise CannotRun("a front machine isn't ready")
        return operator


def play(steps):
    case = Case(sys.argv[1])
    # Ends the processes even if the loop of this program hangs.
    guard = threading.Timer(LONGEST_S + 5, end, (case, 2))
    guard.daemon = True
    guard.start()
    signal.signal(signal.SIGTERM, lambda *_: end(case, 2))

    async def run():
        code = 2
        try:
            await asyncio.wait_for(steps(case), LONGEST_S)
            code = 1 if case.broken else 0
        except CannotRun as e:
            case.record.add("can't run: %s" % e)
        except Exception:
            case.record.add("can't run: " + traceback.format_exc())
        end(case, code)

    asyncio.run(run())


def end(case, code):
    if case.deployment:
        case.deployment.stop(keep_folder=os.environ.get("KEEP") == "1")
    case.record.add("trouble %s, %d times broken, exit %d" %
                    ("on" if case.trouble else "off", len(case.broken), code))
    os._exit(code)


def plain_route(name, prefix, kind, **args):
    return {"name": name, "host": "listings.example", "path_prefix": prefix,
            "kind": kind, "timeout_ms": 3000, "target_latency_ms": 300,
            "priority": 2, "service": "listings-app", "max_attempts": 2,
            "public": False, "sticky": False, "resumable": False, **args}


def manifest(version, routes=None, tenants=None):
    """A manifest in the form of the example in PROTOCOL.md."""
    return {
        "version": version,
        "routes": routes or [
            plain_route("seat-book", "/seat-book/", "unsafe"),
            plain_route("listing-read", "/listing-read/", "safe"),
            {"name": "sheet-tag", "host": "listings.example",
             "path_prefix": "/sheet-tag/", "kind": "streaming",
             "timeout_ms": 6000, "target_latency_ms": 600, "priority": 1,
             "service": "model-pool", "max_attempts": 1, "public": False,
             "sticky": True, "resumable": False, "gap_aim_ms": 300},
        ],
        "services": [
            {"name": "listings-app", "health_path": "/healthz",
             "max_connections": 110, "protocol": "h1", "tls": False},
            {"name": "model-pool", "health_path": "/healthz",
             "max_connections": 370, "protocol": "h1", "tls": False,
             "engine": {"slots": 64, "kv_capacity": 104296,
                        "kv_token_bytes": 163840, "link_mbps": 180000.0,
                        "moves": True, "backups": True, "stride": 4,
                        "max_in_flight": 12, "pin_ms": 4000.0,
                        "hold_ms": 2000.0, "handle_s": 5.0,
                        "models": [{"name": "m0"}]}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": tenants or [tenant("hall", "key-hall")],
    }


def tenant(name, key, **args):
    return {"name": name, "api_keys": [key], "priority": 1,
            "unit": "token_count", "plain_tokens": 200, "isolated": False,
            "rate_per_s": 0, "burst": 0, **args}
