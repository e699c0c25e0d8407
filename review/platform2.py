"""Stand-in of the users' platform for the second review: the key-value store, workers and clients, all on
loopback addresses. Python's standard library only."""
import base64
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
import traceback
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))


RESET_AT_CLOSE = struct.pack("ii", 1, 0)


def run(main):
    """Runs a case and ends with its status; with 2 if it could not run: an error of its own, a signal, or 115 s. What
    the case started is ended by its own `finally`."""
    def stop(number, frame):
        raise SystemExit(2)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, stop)
    signal.alarm(115)
    try:
        status = main()
    except Exception:
        traceback.print_exc()
        status = 2
    sys.exit(status)


def reset(sock):
    """Closes a connection with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        sock.close()
    except OSError:
        pass


def now_ms():
    return int(time.time() * 1000)


class Record:
    """The record of one run: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text))
            self.file.flush()


class Closed(Exception):
    """The peer closed the connection."""


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def more(self):
        piece = self.sock.recv(65536)
        if not piece:
            raise Closed()
        self.data += piece

    def head(self):
        while b"\r\n\r\n" not in self.data:
            self.more()
        head, self.data = self.data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def exactly(self, size):
        while len(self.data) < size:
            self.more()
        body, self.data = self.data[:size], self.data[size:]
        return body

    def line(self):
        while b"\r\n" not in self.data:
            self.more()
        line, self.data = self.data.split(b"\r\n", 1)
        return line

    def chunk(self):
        size = int(self.line().split(b";")[0], 16)
        body = self.exactly(size)
        self.exactly(2)
        return body

    def body(self, fields):
        if "chunked" in fields.get("transfer-encoding", ""):
            whole = b""
            piece = self.chunk()
            while piece:
                whole += piece
                piece = self.chunk()
            return whole
        return self.exactly(int(fields.get("content-length", "0")))


class Server:
    """Accepts connections and hands each to serve(sock) on a thread of its own."""

    def __init__(self, host):
        self.listen(host, 0)

    def listen(self, host, port):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, port))
        self.listener.listen(256)
        self.host, self.port = self.listener.getsockname()
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    @property
    def address(self):
        return "%s:%d" % (self.host, self.port)

    def accept(self, listener):
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.guard, args=(sock,), daemon=True).start()

    def guard(self, sock):
        try:
            self.serve(sock)
        except (OSError, Closed, ValueError):
            pass
        finally:
            sock.close()

    def serve(self, sock):
        raise NotImplementedError


class Store(Server):
    """The platform's key-value store, as PROTOCOL.md tells."""

    def __init__(self, host="127.0.0.1"):
        self.cond = threading.Condition()
        self.revision = 100
        self.items = {}  # key -> [data, mod, created, lease]
        self.log = []  # (revision, event)
        self.leases = {}  # id -> [ttl_ms, end]
        self.next_lease = 1000
        self.calls = {}
        threading.Thread(target=self.expire, daemon=True).start()
        super().__init__(host)

    def put(self, key, value):
        with self.cond:
            self._put(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)

    def delete(self, key):
        with self.cond:
            self._remove(key)

    def _put(self, key, data, lease):
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = [data, self.revision, created, lease]
        self.log.append((self.revision, self._item(key)))
        self.cond.notify_all()

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.log.append((self.revision, {"key": key, "mod_revision": self.revision, "compacted": True}))
            self.cond.notify_all()

    def _item(self, key):
        data, mod, created, lease = self.items[key]
        return {"key": key, "data": data, "mod_revision": mod, "created_revision": created, "lease_id": lease}

    def expire(self):
        while True:
            time.sleep(0.02)
            with self.cond:
                for lease in [l for l, (_, end) in self.leases.items() if end < time.monotonic()]:
                    self._end(lease)

    def _end(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item[3] == lease]:
            self._remove(key)

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            line, fields = reader.head()
            body = reader.body(fields)
            method, target, _ = line.split(" ")
            url = urllib.parse.urlsplit(target)
            query = dict(urllib.parse.parse_qsl(url.query))
            status, answer = self.handle(method, url.path, query, json.loads(body) if body else {})
            text = json.dumps(answer).encode()
            sock.sendall(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                         b"Content-Length: %d\r\n\r\n%s" % (status, len(text), text))

    def handle(self, method, path, query, body):
        with self.cond:
            if path == "/v1/kv-key":
                key = query["key"]
                return (200, dict(self._item(key), at=self.revision)) if key in self.items else (404, {})
            if path == "/v1/kv-range":
                keys = sorted(k for k in self.items
                              if k.startswith(query.get("prefix", "")) and k > query.get("after", ""))
                return 200, {"entries": [self._item(k) for k in keys[:500]], "has_more": len(keys) > 500,
                             "at": self.revision}
            if path == "/v1/kv-watch":
                after, prefix = int(query["after"]), query.get("prefix", "")
                end = time.monotonic() + int(query["wait_ms"]) / 1000
                while True:
                    events = [e for r, e in self.log if r > after and e["key"].startswith(prefix)]
                    left = end - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "at": self.revision}
                    self.cond.wait(left)
            if path == "/v1/kv-txn":
                rows = body.get("expected", [])
                for row in rows:
                    have = self.items[row["key"]][1] if row["key"] in self.items else 0
                    if have != row["mod_revision"]:
                        return 412, {"entries": [self._item(r["key"]) for r in rows if r["key"] in self.items]}
                for write in body.get("write", []):
                    if write.get("lease_id", 0) and write["lease_id"] not in self.leases:
                        return 404, {}
                for write in body.get("write", []):
                    self._put(write["key"], write["data"], write.get("lease_id", 0))
                for key in body.get("remove", []):
                    self._remove(key)
                return 200, {"mod_revision": self.revision}
            if path == "/v1/kv-lease":
                self.next_lease += 1
                self.leases[self.next_lease] = [body["ttl_ms"], time.monotonic() + body["ttl_ms"] / 1000]
                return 200, {"lease_id": self.next_lease, "ttl_ms": body["ttl_ms"]}
            if path.startswith("/v1/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self.leases:
                    return 404, {}
                self.leases[lease][1] = time.monotonic() + self.leases[lease][0] / 1000
                return 200, {"lease_id": lease, "ttl_ms": self.leases[lease][0]}
            if path.startswith("/v1/kv-lease-end/"):
                self._end(int(path.rsplit("/", 1)[1]))
                return 200, {}
        return 404, {}


class Worker(Server):
    """A plain worker; answer(sock, line, fields, body) sends the answer and returns whether the connection goes on."""

    def __init__(self, name, service, record, answer, host="127.0.0.1"):
        self.name, self.service, self.record, self.answer = name, service, record, answer
        self.born = now_ms()
        self.lock = threading.Lock()
        self.arrivals = []
        super().__init__(host)

    def entry(self, state="healthy"):
        return {"backend": self.service, "address": self.address, "zone": "malmo-a", "version": "1",
                "batch_slots": 26, "state": state, "warmup_remaining_ms": 0, "sequence": 1, "born": self.born}

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            line, fields = reader.head()
            body = reader.body(fields)
            if fields.get("x-target-instance", self.name) != self.name:
                send(sock, 421, {"X-Attempt-Id": fields.get("x-attempt-id", "")})
                continue
            with self.lock:
                self.arrivals.append(fields.get("x-attempt-id", ""))
            self.record.write("run     %s at %s: %s" % (fields.get("x-attempt-id"), self.name, line))
            if not self.answer(self, sock, line, fields, body):
                return


def send(sock, status, fields, body=b"{}"):
    head = "HTTP/1.1 %d X\r\n" % status + "".join("%s: %s\r\n" % item for item in fields.items())
    sock.sendall(head.encode() + b"Content-Length: %d\r\n\r\n" % len(body) + body)


def answer_at_once(worker, sock, line, fields, body):
    """Answers as a sound worker."""
    send(sock, 200, {"X-Attempt-Id": fields["x-attempt-id"], "X-Origin-Signature": worker.name,
                     "X-Backend-Load": "1,0,26"}, b'{"by":"%s"}' % worker.name.encode())
    return True


def route(name, prefix, kind, service, timeout_ms, **more):
    return dict({"name": name, "hostname": "shop.example", "prefix": prefix, "route_type": kind,
                 "backend": service, "timeout_ms": timeout_ms, "target_latency_ms": 500, "max_attempts": 2,
                 "priority": 1}, **more)


def config(version, routes, services):
    return {"version": version, "route_table": routes,
            "backends": [{"name": s, "max_connections": 698} for s in services],
            "tenants": [{"name": "shop-0", "api_keys": ["key-of-shop-0"]}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 10000,
                       "idle_timeout_ms": 60000}}


def shared_ports(hosts):
    """Ports that are free on all hosts; daemons of one deployment use the same ones."""
    base = random.randrange(20000, 30000, 10)
    while not all(is_free(host, base + i, kind) for host in hosts for i in range(6)
                  for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)):
        base += 10
    return {"callers": base, "status": base + 1, "peers": base + 2, "digests": base + 3}


def is_free(host, port, kind):
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((host, port))
            return True
        except OSError:
            return False


class Daemon:
    """One relay daemon, started with the command of the deploy file."""

    def __init__(self, folder, name, host, store, ports, seeds=(), zones=("malmo-a",), first=True):
        self.host, self.ports, self.digests = host, ports, ports["digests"]
        self.settings = os.path.join(folder, name + ".toml")
        self.log = os.path.join(folder, name + ".log")
        with open(self.settings, "w") as file:
            file.write("""daemon = "%s"
zone = "%s"
zones = [%s]
store = "%s"
seed_peers = [%s]
peer_key = "auburnhaven relay daemons"
ready_path = "/v1/readyz"
first_start = %s
processor_share = 0.17
link_mbps = 700.0
stall_limit_ms = 6000
news_limit_ms = 2000
stop_limit_ms = 8000

[listeners]
callers = "%s:%d"
status = "%s:%d"
peers = "%s:%d"
digests = "%s:%d"

[retries]
ratio = 0.2
extra = 302
window_s = 10
""" % (name, zones[0], ", ".join('"%s"' % z for z in zones), store, ", ".join('"%s"' % s for s in seeds),
                "true" if first else "false", host, self.ports["callers"], host, self.ports["status"], host,
                self.ports["peers"], host, self.digests))
        self.start()

    def start(self):
        self.process = subprocess.Popen([os.path.join(ROOT, "target", "auburnhaven"), "relay", "--settings",
                                         self.settings], cwd=ROOT, stdout=open(self.log, "a"),
                                        stderr=subprocess.STDOUT)

    def ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.status_code(0.5) == 200:
                return True
            time.sleep(0.1)
        return False

    def status_code(self, timeout_s):
        try:
            with socket.create_connection((self.host, self.ports["status"]), timeout_s) as sock:
                sock.settimeout(timeout_s)
                sock.sendall(b"GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                return int(Reader(sock).head()[0].split(" ")[1])
        except (OSError, Closed):
            return 0

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()


class Answer:
    """What a client saw of one request."""

    def __init__(self):
        self.status, self.fields, self.body, self.took_s, self.error = 0, {}, b"", 0.0, ""


def ask(daemon, method, path, attempt, record, timeout_s, body=b"", fields=None, sock=None):
    """Sends one request as a client and reads its answer."""
    answer = Answer()
    began = time.monotonic()
    record.write("sent    %s %s %s" % (attempt, method, path))
    own = sock is None
    try:
        if own:
            sock = socket.create_connection((daemon.host, daemon.ports["callers"]), 1)
        sock.settimeout(timeout_s)
        head = {"Host": "shop.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": str(int(timeout_s * 1000)),
                "Authorization": "Bearer key-of-shop-0", "Content-Length": str(len(body))}
        head.update(fields or {})
        sock.sendall(("%s %s HTTP/1.1\r\n" % (method, path) + "".join("%s: %s\r\n" % f for f in head.items())
                      + "\r\n").encode() + body)
        reader = Reader(sock)
        line, answer.fields = reader.head()
        answer.status = int(line.split(" ")[1])
        answer.body = reader.body(answer.fields)
    except (OSError, Closed, ValueError) as error:
        answer.error = type(error).__name__
    finally:
        if own and sock is not None:
            sock.close()
    answer.took_s = time.monotonic() - began
    record.write("answer  %s status %d %s after %.0f ms" % (attempt, answer.status, answer.error,
                                                           answer.took_s * 1000))
    return answer


class EngineWorker(Server):
    """A model worker that forms groups of the size that its orders name; stream(worker, sock, fields) answers."""

    def __init__(self, name, service, model, store, record, stream, host="127.0.0.1", zone="malmo-a"):
        self.name, self.service, self.model, self.store, self.record = name, service, model, store, record
        self.stream, self.zone = stream, zone
        self.lock = threading.RLock()
        self.born, self.sequence, self.group, self.last_model = now_ms(), 0, None, None
        self.active, self.crashed, self.sockets = 0, False, set()
        super().__init__(host)
        self.publish()

    def state(self):
        return {"phase": "colocated", "model_list": [{"name": self.group["model"], "version": 1, "loras": []}]
                if self.group else [], "fault_domain": self.zone + "-d0", "preloaded": [self.model],
                "group": {k: self.group[k] for k in ("name", "epoch", "rank", "state")} if self.group else None,
                "born": self.born, "sequence": self.sequence}

    def publish(self):
        self.store.put("servers/" + self.name, dict(self.state(), backend=self.service, address=self.address,
                                                    zone=self.zone, version="1", batch_slots=26, state="healthy",
                                                    warmup_remaining_ms=0))

    def later(self, seconds, group, state):
        def change():
            with self.lock:
                if self.group is group and not self.crashed:
                    group["state"] = state
                    self.publish()
        timer = threading.Timer(seconds, change)
        timer.daemon = True
        timer.start()

    def order(self, body):
        with self.lock:
            if "expected" in body and body["expected"] != self.sequence:
                return 409
            operation = body["operation"]
            if operation == "phase":
                self.sequence += 1
                return 202
            if operation == "join":
                if self.group and (self.group["name"], self.group["epoch"]) == (body["group"], body["epoch"]):
                    return 200
                self.sequence += 1
                self.group = {"name": body["group"], "epoch": body["epoch"], "model": body["model_id"],
                              "rank": body["member_list"].index(self.name), "state": "joining"}
                self.later(0.2, self.group, "healthy")
                self.publish()
                return 202
            if not self.group or (self.group["name"], self.group["epoch"]) != (body["group"], body["epoch"]):
                return 409
            if operation == "open" and self.group["rank"] == 0 and self.group["state"] == "healthy":
                self.sequence += 1
                self.later(0.3, self.group, "open")
                return 202
            if operation == "leave":
                self.sequence += 1
                self.group = None
                self.publish()
                return 200
            return 200 if operation == "open" and self.group["state"] == "open" else 409

    def serve(self, sock):
        with self.lock:
            self.sockets.add(sock)
        reader = Reader(sock)
        try:
            while True:
                line, fields = reader.head()
                body = reader.body(fields)
                if fields.get("x-target-instance", self.name) != self.name:
                    send(sock, 421, {"X-Attempt-Id": fields.get("x-attempt-id", "")})
                elif line.startswith("GET /v1/report"):
                    with self.lock:
                        report = dict(self.state(), busy=False, queued=0, active=self.active, kv_usage=0,
                                      kv_limit=1400000, request_classes=0, pace=1.0)
                    send(sock, 200, {"Content-Type": "application/json"}, json.dumps(report).encode())
                elif line.startswith("POST /v1/order"):
                    send(sock, self.order(json.loads(body)), {})
                else:
                    self.record.write("run     %s at %s" % (fields.get("x-attempt-id"), self.name))
                    born = self.born
                    with self.lock:
                        self.active += 1
                    try:
                        self.stream(self, sock, fields)
                    finally:
                        with self.lock:
                            self.active -= 1 if born == self.born else 0
        finally:
            with self.lock:
                self.sockets.discard(sock)
                if sock.fileno() < 0:
                    raise Closed()

    def crash(self):
        """Ends as a killed process does: nothing listens any more and all connections are reset."""
        with self.lock:
            self.crashed = True
            self.listener.shutdown(socket.SHUT_RDWR)
            self.listener.close()
            for sock in self.sockets:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
                sock.shutdown(socket.SHUT_RD)
                os.close(sock.detach())
            self.sockets = set()

    def restart(self):
        """Starts again at the same address, as a new incarnation that knows nothing of before."""
        with self.lock:
            self.crashed, self.born, self.sequence, self.group, self.active = False, now_ms(), 0, None, 0
            self.listen(self.host, self.port)
            self.publish()


def engine_service(name, models):
    """A service whose workers are model engines; models maps a name to the size of its groups."""
    return {"name": name, "max_connections": 698, "health_check_path": "/healthz", "protocol": "h1", "runtime": {
        "batch_slots": 26, "kv_capacity": 1400000, "stride": 5, "step_ms": 6.07, "per_seq_ms": 0.241,
        "context_per_k": 0.00488, "read_per_s": 46000.0, "pairs_per_m": 0.7, "chunk": 2048, "report_lag_ms": 200.0,
        "loads_per_s": 4.0, "loads_at_once": 6, "usual": {"prompt": 1076, "answer": 116}, "max_staged": 1,
        "far_x": 4.0, "batch_form_ms": 300.0,
        "model_list": [{"name": m, "size": s, "work_share": 1.0 / len(models), "pace": 1.0, "load_time_s": 12.0,
                        "warm_s": 1.1} for m, s in models.items()]}}
