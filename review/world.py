"""Starts the project's programs and stand-ins on loopback for the review's scripts.

Standard library only. Each daemon reaches the store through a proxy of its own, which can stop
answering, as the platform's store does that turns some machines away.
"""

import json
import os
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = os.path.join(ROOT, "target", "auburnhaven")
STANDINS = os.path.join(ROOT, "target", "auburnhaven-standins")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2
LONGEST_RUN_S = 112
ZONES = ["malmo", "lund", "ystad"]


class CannotRun(Exception):
    """The case could not be set up."""


class StoreProxy:
    """Forwards TCP connections to one address; forwards nothing while it is silent."""

    def __init__(self, target):
        self.target = target
        self.silent = False
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(128)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._forward, args=(caller,), daemon=True).start()

    def _forward(self, caller):
        try:
            server = socket.create_connection(self.target, 5)
        except OSError:
            caller.close()
            return
        for end in (caller, server):
            end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                readable, _, _ = select.select([caller, server], [], [], 0.05)
                if self.silent:
                    # What has come is kept in the sockets: no answer, no reset.
                    time.sleep(0.01)
                    continue
                for end in readable:
                    data = end.recv(65536)
                    if not data:
                        return
                    (server if end is caller else caller).sendall(data)
        except OSError:
            pass
        finally:
            caller.close()
            server.close()


class World:
    """The platform's stand-ins and the daemons of one run."""

    def __init__(self, daemons_per_zone):
        self.work = tempfile.mkdtemp(prefix="auburnhaven-review-")
        self.processes = []
        self.records = []
        self.daemons = []
        self.per_zone = daemons_per_zone
        self.base = 0
        self.begun = time.monotonic()

    def start_standins(self, options):
        if not os.path.exists(DAEMON) or not os.path.exists(STANDINS):
            raise CannotRun("build the deploy file and run review/build.sh first")
        for _ in range(5):
            # Another script may take the same ports at the same time.
            self.base = free_base(self.base)
            standins = self._start(
                [STANDINS, "platform", "--base-port", str(self.base), *options],
                f"standins-{self.base}.log")
            wait_until(10, lambda: standins.poll() is not None or self._stand_ins_are_ready(),
                       "stand-ins are ready")
            if standins.poll() is None:
                return
        raise CannotRun("the stand-ins do not start")

    @classmethod
    def started(cls, daemons_per_zone, options):
        """Returns a world whose stand-ins run; ends what was started if they do not."""
        world = cls(daemons_per_zone)
        try:
            world.start_standins(options)
        except BaseException:
            world.end()
            raise
        return world

    def _stand_ins_are_ready(self):
        return "\nready" in self.log(f"standins-{self.base}.log")

    def _start(self, command, log):
        with open(os.path.join(self.work, log), "ab") as out:
            process = subprocess.Popen(command, cwd=ROOT, stdout=out, stderr=subprocess.STDOUT,
                                       stdin=subprocess.DEVNULL)
        self.processes.append(process)
        return process

    def log(self, name):
        with open(os.path.join(self.work, name), encoding="utf-8", errors="replace") as text:
            return text.read()

    def note(self, text):
        line = f"{time.monotonic() - self.begun:9.3f} s  {text}"
        self.records.append(line)

    def start_daemons(self, proxy_type=StoreProxy):
        hosts = [(zone, f"127.0.0.{2 + 3 * number + index}")
                 for number in range(self.per_zone) for index, zone in enumerate(ZONES)]
        for zone, host in hosts:
            proxy = proxy_type(("127.0.0.1", self.base))
            self.daemons.append(Daemon(self, zone, host, proxy, [h for _, h in hosts[:3]]))
        for daemon in self.daemons:
            daemon.start(True)
        for daemon in self.daemons:
            wait_until(20, daemon.is_ready, f"daemon {daemon.host} is ready")

    def operator(self, path, body=None):
        data = None if body is None else json.dumps(body).encode()
        url = f"http://127.0.0.1:{self.base + 1}{path}"
        with urllib.request.urlopen(urllib.request.Request(url, data), timeout=5) as answer:
            return json.loads(answer.read())

    def worker_ports(self):
        rows = [line.split() for line in self.log(f"standins-{self.base}.log").splitlines()]
        return {row[1]: int(row[2].rsplit(":", 1)[1]) for row in rows
                if len(row) == 3 and row[0] == "worker"}

    def control(self, port, wish):
        url = f"http://127.0.0.1:{port}/control"
        with urllib.request.urlopen(
                urllib.request.Request(url, json.dumps(wish).encode()), timeout=5) as answer:
            return json.loads(answer.read())

    def coordinator(self, zone):
        key = urllib.parse.quote(f"auburnhaven/coordinator/{zone}")
        value = self.operator(f"/key?name={key}")["value"]
        host = value.split(":")[0]
        found = [daemon for daemon in self.daemons if daemon.host == host]
        return found[0] if found else None

    def copies(self):
        return self.operator("/checks")["open_copies"]

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            process.wait()
        if os.environ.get("KEEP_WORK"):
            print("logs:", self.work)
        else:
            shutil.rmtree(self.work, ignore_errors=True)

    def write_record(self, path):
        with open(path, "w", encoding="utf-8") as out:
            out.write("\n".join(self.records) + "\n")


class Daemon:
    """One relay daemon, with settings as the deploy file's template gives them."""

    def __init__(self, world, zone, host, proxy, seeds):
        self.world, self.zone, self.host, self.proxy = world, zone, host, proxy
        base = world.base
        self.port = base + 60
        self.settings = f"""daemon = "edge-{zone}-{host}"
zone = "{zone}"
zones = ["malmo", "lund", "ystad"]
store = "127.0.0.1:{proxy.port}"
seed_peers = [{", ".join(f'"{seed}:{base + 62}"' for seed in seeds)}]
peer_key = "auburnhaven relay daemons"
ready_path = "/v1/readyz"
first_start = FIRST
processor_share = 0.17
link_mbps = 700.0
stall_limit_ms = 1500
news_limit_ms = 2000
stop_limit_ms = 8000
formation_time_ms = 500
[listeners]
callers = "{host}:{base + 60}"
status = "{host}:{base + 61}"
peers = "{host}:{base + 62}"
digests = "{host}:{base + 63}"
[retries]
ratio = 0.2
extra = 302
window_s = 10
"""
        self.process = None

    def start(self, first):
        path = os.path.join(self.world.work, f"{self.host}.toml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(self.settings.replace("FIRST", "true" if first else "false"))
        self.process = self.world._start([DAEMON, "relay", "--settings", path], f"{self.host}.log")

    def is_ready(self):
        try:
            url = f"http://{self.host}:{self.world.base + 61}/v1/readyz"
            with urllib.request.urlopen(url, timeout=1) as answer:
                return answer.status == 200
        except OSError:
            return False

    def ask(self, route, attempt, key="key-of-shop-0", body="", headers=(), timeout=10,
            deadline_ms=6000):
        """Sends one request on a connection of its own. Returns the status and the answer's bytes;
        the status is 0 without an answer."""
        lines = [f"POST {route} HTTP/1.1", "Host: shop.example", f"X-Attempt-Id: {attempt}",
                 f"Authorization: Bearer {key}", f"X-Deadline-Ms: {deadline_ms}",
                 f"Content-Length: {len(body)}", "Connection: close", *headers]
        answer = b""
        try:
            with socket.create_connection((self.host, self.port), 2) as connection:
                connection.settimeout(timeout)
                connection.sendall(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
                while True:
                    data = connection.recv(65536)
                    if not data:
                        break
                    answer += data
        except OSError:
            pass
        head = answer.split(b"\r\n", 1)[0].split()
        return (int(head[1]) if len(head) > 1 and head[1].isdigit() else 0), answer


def free_base(after):
    """Returns a base port above another one, from which on the ports of a run are free."""
    for base in range(max(22800, after) + 200, 31000, 200):
        try:
            for offset in range(80):
                with socket.socket() as probe:
                    probe.bind(("127.0.0.1", base + offset))
            return base
        except OSError:
            continue
    raise CannotRun("no free ports")


def wait_until(seconds, condition, what):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.05)
    raise CannotRun("not reached: " + what)


def run_case(case, folder, daemons_per_zone, options=()):
    """Runs case(world), which returns whether the rule was broken, and exits with its result. Ends
    what was started in every case: also after an error, a signal, or when the time is over."""
    world = None
    result = COULD_NOT_RUN
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))
    signal.alarm(LONGEST_RUN_S)
    try:
        world = World.started(daemons_per_zone, options)
        result = BROKEN if case(world) else HELD
    except Exception as error:  # pylint: disable=broad-except
        # An error of the script must not look like a broken rule.
        print("could not run:", repr(error))
        if world:
            world.note(f"could not run: {error!r}")
    finally:
        signal.alarm(0)
        if world:
            world.end()
            world.note({BROKEN: "the rule was broken", HELD: "the rule held",
                        COULD_NOT_RUN: "the case could not run"}[result])
            world.write_record(os.path.join(folder, "record.txt"))
            print("\n".join(world.records[-15:]))
    sys.exit(result)
