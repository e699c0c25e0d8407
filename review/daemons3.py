"""Starts relay daemons with the command and the settings template of the deploy file."""

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
MEMORY_MB = 182
GRACE_S = 8


def look_up(scopes, name):
    """Resolves a placeholder's name in the innermost scope that has it."""
    for scope in reversed(scopes):
        value = scope
        for part in [name] if name == "." else name.split("."):
            if isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            return value
    return None


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(as_text(item) for item in value)
    return json.dumps(value) if isinstance(value, (bool, dict)) else str(value)


def fill(template, scopes):
    """Fills a settings template as DEPLOY.md tells."""
    out = ""
    while found := re.search(r"\{\{([#^]?)([^}]+)\}\}", template):
        out += template[:found.start()]
        template = template[found.end():]
        kind, name = found.groups()
        value = look_up(scopes, name)
        if not kind:
            out += as_text(value)
            continue
        body, template = template.split("{{/%s}}" % name, 1)
        if kind == "^":
            out += "" if value else fill(body, scopes)
            continue
        if isinstance(value, dict):
            items = list(value.items())
        else:
            items = list(enumerate(value)) if isinstance(value, list) else [(None, value)] if value else []
        for place, (key, item) in enumerate(items):
            scope = {".": item, "@": key, ",": "," if place + 1 < len(items) else ""}
            out += fill(body, [*scopes, {**(item if isinstance(item, dict) else {}), **scope}])
    return out + template


def free_ports(count):
    """Returns the first of some neighbouring ports that are free on all used addresses."""
    for first in range(20000 + os.getpid() % 200 * 50, 32000, 50):
        try:
            for port in range(first, first + count):
                for host in ("127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4", "127.0.0.5"):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind((host, port))
            return first
        except OSError:
            continue
    raise SystemExit(2)


class Daemons:
    """The relay daemons of a small deployment, one process each, on addresses of their own."""

    def __init__(self, store_port, port, zones, memory_mb=MEMORY_MB):
        self.store = "127.0.0.1:%d" % store_port
        self.port = port
        self.zones = zones
        self.memory_mb = memory_mb
        self.work = tempfile.mkdtemp(prefix="review3-")
        self.processes = {}
        self.changed = {}  # figures of single machines whose settings were changed
        self.figures = {"stall_limit_ms": 6000, "config_apply_ms": 2000, "grace_period_s": GRACE_S,
                        "retry_budget_ratio": 0.2, "retry_min_extra": 302, "retry_window_s": 10}
        with open(ROOT + "/deploy/system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["relay"]
        self.command = role["run"].split(" ")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            self.template = file.read()

    def host(self, index):
        return "127.0.0.%d" % (2 + index)

    def address(self, index):
        return self.host(index), self.port

    def settings(self, index, first):
        host = self.host(index)
        return {
            "node_name": "edge-%s-%d" % (self.zones[index], index), "role": "relay", "ip": host,
            "zone": self.zones[index], "zones": {zone: "south" for zone in self.zones},
            "bind": {"frontend": "%s:%d" % (host, self.port), "ready": "%s:%d" % (host, self.port + 1),
                     "admin": "%s:%d" % (host, self.port + 2)},
            "internal_ports": [self.port + 3, self.port + 10],
            "seed_nodes": ["%s:%d" % (self.host(i), self.port + 2) for i in range(len(self.zones))][:3],
            "bootstrap": first,
            "limits": {"cpu_quota": 0.17, "cpu_cores": 1, "memory_mb": self.memory_mb, "max_fds": 2870,
                       "bandwidth_mbps": 700.0, "disk_mb": 0},
            "timing_bounds": self.changed.get(index, self.figures),
            "platform": {"address": self.store, "form": "kv"}}

    def place_settings(self, index, first):
        """Puts the filled template where the daemon reads it, as the platform does."""
        path = "%s/settings-%d.toml" % (self.work, index)
        with open(path, "w", encoding="utf-8") as file:
            file.write(fill(self.template, [self.settings(index, first)]))
        return path

    def start(self, index, first=True):
        path = self.place_settings(index, first)
        command = [path if word.endswith("settings.json") else word for word in self.command]
        log = open("%s/daemon-%d.log" % (self.work, index), "ab")
        self.processes[index] = subprocess.Popen(command, stdout=log, stderr=log, cwd=ROOT,
                                                 stdin=subprocess.DEVNULL)
        log.close()

    def log(self, index):
        with open("%s/daemon-%d.log" % (self.work, index), encoding="utf-8", errors="replace") as file:
            return file.read()

    def memory_kb(self, index):
        """Resident memory of a daemon; 0 when it has ended."""
        try:
            with open("/proc/%d/status" % self.processes[index].pid, encoding="ascii") as file:
                return next((int(line.split()[1]) for line in file if line.startswith("VmRSS")), 0)
        except OSError:
            return 0

    async def until_ready(self, index, seconds=20):
        for _ in range(int(seconds * 10)):
            status, _ = await ask((self.host(index), self.port + 1), "GET", "/v1/readyz", {}, b"", 1)
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise SystemExit(2)

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.work, ignore_errors=True)


def encode(method, path, headers, body):
    lines = ["%s %s HTTP/1.1" % (method, path)]
    lines += ["%s: %s" % field for field in {"Host": "shop.example", **headers}.items()]
    if body or method == "POST":
        lines.append("Content-Length: %d" % len(body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_response(reader, method="GET"):
    """Reads one response as HTTP/1.1 frames it. Returns status, headers and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    status = int(head[0].split(" ")[1])
    headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in head[1:] if line}
    if method == "HEAD" or status in (204, 304):
        return status, headers, b""
    if headers.get("transfer-encoding") == "chunked":
        body = b""
        while size := int(await reader.readline(), 16):
            body += await reader.readexactly(size)
            await reader.readline()
        await reader.readline()
        return status, headers, body
    return status, headers, await reader.readexactly(int(headers.get("content-length", 0)))


async def ask(address, method, path, headers, body, seconds):
    """Sends one request on a new connection. Returns status and body; status 0 without an answer."""
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(encode(method, path, {**headers, "Connection": "close"}, body))
            await writer.drain()
            status, _, got = await read_response(reader, method)
            return status, got
    except (OSError, EOFError, TimeoutError, ValueError, IndexError):
        return 0, b""
    finally:
        if writer is not None:
            writer.close()


def play(case):
    """Runs a case. Returns its result, or 2 when it could not run; ends all that it started, also on SIGTERM."""

    async def guarded():
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        return await case

    try:
        return asyncio.run(guarded())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2
