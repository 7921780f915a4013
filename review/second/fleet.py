"""Starts the project's processes on loopback addresses for a review case.

The command lines come from deploy/system.toml and the settings from the
template that it names, filled in as the users' page DEPLOY describes. Each
machine has a loopback address of its own; the ports are the same on all.
"""
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the users' small sites, as their sheets state them.
BOUNDS = {
    "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "config_ms": 2000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56,
    "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000,
    "recovery_s": 12, "lease_ms": 3000, "version_ms": 8000,
    "version_all_ms": 11000,
}
HEARTBEAT_MS = 1200


class CannotRun(Exception):
    """The case couldn't be set up; its script exits with 2."""


def _lookup(stack, name):
    if name == ".":
        return stack[-1]
    for scope in reversed(stack):
        value = scope
        for step in name.split("."):
            if isinstance(value, list) and step.isdigit():
                index = int(step)
                value = value[index] if index < len(value) else None
            elif isinstance(value, dict):
                value = value.get(step)
            else:
                value = None
        if value is not None:
            return value
    return None


def _as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(_as_text(it) for it in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(template, stack):
    """Fills in placeholders and sections of a settings template."""
    tag = re.compile(r"\{\{([#^])([^{}]+)\}\}")
    out = ""
    while True:
        found = tag.search(template)
        if not found:
            break
        out += _render_plain(template[:found.start()], stack)
        sign, name = found.groups()
        end = template.index("{{/" + name + "}}", found.end())
        inner = template[found.end():end]
        value = _lookup(stack, name)
        if sign == "^":
            if value in (None, False, [], {}):
                out += render(inner, stack)
        elif isinstance(value, list):
            for n, it in enumerate(value):
                comma = "," if n + 1 < len(value) else ""
                out += render(inner.replace("{{,}}", comma), stack + [it])
        elif value not in (None, False):
            out += render(inner, stack + [value])
        template = template[end + len("{{/" + name + "}}"):]
    return out + _render_plain(template, stack)


def _render_plain(text, stack):
    return re.sub(r"\{\{([^{}#^/]+)\}\}",
                  lambda m: _as_text(_lookup(stack, m.group(1))), text)


class Machine:
    def __init__(self, fleet, role, name, ip, zone):
        self.fleet, self.role, self.name = fleet, role, name
        self.ip, self.zone = ip, zone
        self.folder = os.path.join(fleet.folder, name)
        self.data_dir = os.path.join(self.folder, "data")
        self.process = None
        self.starts = 0
        self.ended_itself = []  # return codes
        os.makedirs(self.folder)

    def settings(self, bootstrap):
        fleet = self.fleet
        fields = {
            "node_name": self.name, "role": self.role["name"],
            "machine_class": self.role["on"], "serves": self.role["serves"],
            "ip": self.ip, "zone": self.zone, "region": "lagos",
            "port_range": [fleet.port, fleet.port + 15],
            "seed_nodes": [f"{it}:{fleet.port + 16}" for it in fleet.seeds],
            "bootstrap": bootstrap, "heartbeat_ms": HEARTBEAT_MS,
            "fault_tolerance": fleet.tolerance, "bounds": fleet.bounds,
            "listen": {},
        }
        if "front" in self.role["serves"]:
            fields["limits"] = {"memory_mb": 110}
            fields["listen"]["front"] = f"{self.ip}:{fleet.port + 17}"
            fields["listen"]["readiness_addr"] = f"{self.ip}:{fleet.port + 18}"
        if "control" in self.role["serves"]:
            fields["limits"] = {"memory_mb": 256}
            fields["listen"]["control"] = f"{self.ip}:{fleet.port + 16}"
            fields["data_dir"] = self.data_dir
        with open(os.path.join(REPOSITORY, self.role["template"])) as file:
            return render(file.read(), [fields])

    def start(self):
        """Starts the process. Only a first start bootstraps."""
        if "control" in self.role["serves"]:
            os.makedirs(self.data_dir, exist_ok=True)
        path = os.path.join(self.folder, "node.toml")
        with open(path, "w") as file:
            file.write(self.settings(self.starts == 0 and
                                     self.fleet.first_start))
        self.starts += 1
        command = [path if it.startswith("/etc/") else it
                   for it in self.role["run"].split()]
        command[0] = os.path.join(REPOSITORY, command[0])
        log = open(os.path.join(self.folder, f"log.{self.starts}"), "w")
        self.process = subprocess.Popen(command, cwd=REPOSITORY, stdout=log,
                                        stderr=subprocess.STDOUT)
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.kill()
        self.process.wait()

    def runs(self):
        return self.process is not None and self.process.poll() is None

    def lose_disk(self):
        shutil.rmtree(self.data_dir)

    def last_lines(self):
        with open(os.path.join(self.folder, f"log.{self.starts}")) as file:
            return [it.strip() for it in file.readlines()[-3:]]


class Fleet:
    """`cores` and `fronts` are the zones of the machines of each class."""

    def __init__(self, cores, fronts, tolerance=1, bounds=None):
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), "rb") as f:
            roles = tomllib.load(f)["roles"]
        for name, role in roles.items():
            role["name"] = name
        by_class = {it["on"]: it for it in roles.values()}
        program = os.path.join(REPOSITORY,
                               by_class["front"]["run"].split()[0])
        if not os.access(program, os.X_OK):
            raise CannotRun("the program of the deploy file isn't built")
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.tolerance = {"machines": tolerance, "zones": 1, "regions": 0}
        self.bounds = dict(BOUNDS, **(bounds or {}))
        self.first_start = True
        self.net = f"127.{random.randrange(16, 240)}.{random.randrange(250)}"
        self.port = self._free_ports(len(cores) + len(fronts))
        self.cores = [Machine(self, by_class["core"], f"core-{n + 1}",
                              f"{self.net}.{n + 1}", zone)
                      for n, zone in enumerate(cores)]
        self.fronts = [Machine(self, by_class["front"], f"front-{n + 1}",
                               f"{self.net}.{n + 41}", zone)
                       for n, zone in enumerate(fronts)]
        self.seeds = [it.ip for it in self.cores[:3]]

    def _free_ports(self, machines):
        for _ in range(50):
            port = random.randrange(20000, 32000, 20)
            try:
                for n in range(19):
                    with socket.socket() as probe:
                        probe.bind((f"{self.net}.1", port + n))
                return port
            except OSError:
                continue
        raise CannotRun("there are no free ports")

    @property
    def control_port(self):
        return self.port + 16

    @property
    def front_port(self):
        return self.port + 17

    @property
    def machines(self):
        return self.cores + self.fronts

    def start(self):
        for it in self.machines:
            it.start()

    def stop(self):
        for it in self.machines:
            if it.runs():
                it.kill()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class Record:
    """Writes a case's record.txt, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.begun = time.monotonic()

    def __call__(self, text):
        at = time.monotonic() - self.begun
        self.file.write(f"{at:9.3f} s  {text}\n")
        self.file.flush()


def run_case(body):
    """Runs `body(record)`, which returns whether the rule held, and exits.

    The path of the record is the script's argument.
    """
    record = Record(sys.argv[1])
    record("with the disruption" if TROUBLE else "without the disruption")
    # Ends the fleet if the script is ended by a signal.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        held = body(record)
    except CannotRun as error:
        record(f"the case couldn't run: {error}")
        sys.exit(2)
    record("the rule held" if held else "THE RULE WAS BROKEN")
    sys.exit(0 if held else 1)
