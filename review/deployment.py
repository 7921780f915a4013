"""Starts a small deployment of the project's own programs on loopback.

The programs run as separate processes with the commands of the deploy file.
Their settings files are filled from the project's template, as DEPLOY.md
describes. All times are real; nothing outside the temporary folder is written
except the record of the case.
"""

import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))

# The bounds and the machines' limits of the sheet of owambe-steps.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000,
    "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8,
    "loss_slack_ms": 200, "config_ms": 2000, "rollback_slack_ms": 250,
    "max_skew_ms": 5000, "strict_revocation": False, "revoke_ms": 5000,
    "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_slack": 56,
    "quota_window_s": 8, "quota_overage": 0.1, "quota_slack": 110000,
    "recovery_s": 12, "transit_ms": 120, "retry_after_s": 10,
    "fencing_required": True, "lease_ms": 3000, "thaw_ms": 300,
    "version_ms": 8000, "version_all_ms": 11000,
}
HEARTBEAT_MS = 1200


class CannotRun(Exception):
    """The case couldn't be played; it shows nothing about the rule."""


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and part.isdigit():
            value = value[int(part)] if int(part) < len(value) else None
        else:
            return None
    return value


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(it) for it in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(template, fields):
    """Fills in a settings template as DEPLOY.md describes."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill_section(match):
        sign, name, inner = match.groups()
        value = lookup(fields, name)
        absent = value is None or value is False or value == [] or value == {}
        if sign == "^":
            return render(inner, fields) if absent else ""
        if absent:
            return ""
        entries = value if isinstance(value, list) else [value]
        out = ""
        for n, entry in enumerate(entries):
            text = inner.replace("{{,}}", "," if n + 1 < len(entries) else "")
            text = text.replace("{{.}}", as_text(entry))
            out += render(text, fields)
        return out

    template = section.sub(fill_section, template)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: as_text(lookup(fields, match.group(1))),
                  template)


def is_free(ip, port):
    with socket.socket() as it:
        try:
            it.bind((ip, port))
        except OSError:
            return False
    return True


class Machine:
    def __init__(self, name, ip, zone, role):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.role = role
        self.process = None
        self.fields = None


class Deployment:
    """Machines of the classes `front` and `core`, one process each.

    `zones` lists the zone of each machine of a class.
    """

    def __init__(self, fronts, cores, lost_disks=1):
        with open(os.path.join(REPOSITORY, "deploy/system.toml"), "rb") as it:
            self.roles = tomllib.load(it)["roles"]
        self.folder = tempfile.mkdtemp(prefix="review-")
        base = "127.%d.%d." % (random.randint(2, 250), random.randint(1, 250))
        self.base = base
        for _ in range(50):
            port = random.randrange(12000, 30000, 32)
            if all(is_free(base + "1", port + n) for n in range(24)):
                break
        else:
            raise CannotRun("no free ports")
        self.port_range = [port, port + 15]
        self.front_port = port + 16
        self.readiness_port = port + 17
        self.control_port = port + 18
        self.worker_port = port + 19
        self.machines = {}
        self.next_ip = 1
        self.lost_disks = lost_disks
        self.started = time.monotonic()
        self.running = []
        for n, zone in enumerate(cores):
            self.add("core-%d" % (n + 1), zone, "control")
        for n, zone in enumerate(fronts):
            self.add("front-%d" % (n + 1), zone, "entry")
        self.seeds = ["%s:%d" % (it.ip, self.control_port)
                      for it in self.of_role("control")][:3]

    def add(self, name, zone, role):
        self.machines[name] = Machine(name, self.new_ip(), zone, role)

    def new_ip(self):
        ip = self.base + str(self.next_ip)
        self.next_ip += 1
        return ip

    def of_role(self, role):
        return [it for it in self.machines.values() if it.role == role]

    def control_addresses(self):
        return [(it.ip, self.control_port) for it in self.of_role("control")]

    def write_settings(self, machine, bootstrap):
        role = self.roles[machine.role]
        listen = {}
        if "front" in role["serves"]:
            listen = {"front": "%s:%d" % (machine.ip, self.front_port),
                      "readiness_addr":
                          "%s:%d" % (machine.ip, self.readiness_port)}
        if "control" in role["serves"]:
            listen["control"] = "%s:%d" % (machine.ip, self.control_port)
        core = role["on"] == "core"
        fields = {
            "node_name": machine.name, "role": machine.role,
            "machine_class": role["on"], "serves": role["serves"],
            "ip": machine.ip, "zone": machine.zone, "region": "lagos",
            "port_range": self.port_range, "seed_nodes": self.seeds,
            "bootstrap": bootstrap, "counts_as_loss": core,
            "discovery": "registration", "entry": "vip",
            "heartbeat_ms": HEARTBEAT_MS, "config_mode": "highest",
            "listen": listen,
            "limits": {"cpu_share": 0.3 if core else 0.25, "cores": 1,
                       "memory_mb": 256 if core else 110, "max_fds": 4096,
                       "link_mbps": 1000.0, "disk_mb": 128 if core else 0},
            "fault_tolerance": {"machines": self.lost_disks, "zones": 1,
                                "regions": 0},
            "bounds": BOUNDS,
        }
        if core:
            fields["data_dir"] = os.path.join(self.folder, machine.name)
            os.makedirs(fields["data_dir"], exist_ok=True)
        with open(os.path.join(REPOSITORY, role["template"])) as it:
            text = render(it.read(), fields)
        path = os.path.join(self.folder, machine.name + ".settings")
        with open(path, "w") as out:
            out.write(text)
        return path

    def start(self, name, bootstrap=False):
        machine = self.machines[name]
        path = self.write_settings(machine, bootstrap)
        words = self.roles[machine.role]["run"].split()
        words[0] = os.path.join(REPOSITORY, words[0])
        if not os.path.exists(words[0]):
            raise CannotRun("the deploy file's build has not been run")
        words = [path if it == "/etc/baobabrun/node.toml" else it
                 for it in words]
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        machine.process = subprocess.Popen(
            words, cwd=REPOSITORY, stdin=subprocess.DEVNULL, stdout=log,
            stderr=log,
            env={"PATH": os.environ.get("PATH", ""),
                 "HOME": os.environ.get("HOME", ""), "LANG": "C.UTF-8",
                 "BAOBABRUN_SETTINGS": path})
        log.close()
        self.running.append(machine.process)
        return machine.process

    def start_all(self):
        for name in self.machines:
            self.start(name, bootstrap=True)

    def signal(self, name, number):
        self.machines[name].process.send_signal(number)

    def kill(self, name):
        process = self.machines[name].process
        process.send_signal(signal.SIGKILL)
        process.wait()

    def log_of(self, name):
        with open(os.path.join(self.folder, name + ".log"),
                  errors="replace") as it:
            return it.read()

    def stop(self, keep_folder=False):
        for it in self.running:
            if it.poll() is None:
                it.send_signal(signal.SIGCONT)
                it.kill()
        for it in self.running:
            it.wait()
        if not keep_folder:
            shutil.rmtree(self.folder, ignore_errors=True)
