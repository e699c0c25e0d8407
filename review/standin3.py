"""Stand-ins of the users' platform on loopback: its store, its operator and its workers.

They speak what PROTOCOL.md says, on the real clock. One asyncio loop runs all of them. Each worker notes
what it ran in the shared record, so that a case can judge by it.
"""

import asyncio
import base64
import itertools
import json
import time
import urllib.parse


class Request:
    """One HTTP request that has been read whole."""

    def __init__(self, method, target, headers, body, writer):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body
        self.writer = writer

    def header(self, name):
        return self.headers.get(name.lower(), "")

    def number(self, name, default):
        return int(self.query.get(name, default))


class HttpServer:
    """Serves HTTP/1.1 on kept connections; a subclass answers the requests."""

    def __init__(self):
        self.server = None
        self.connections = set()

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 24)

    def close(self):
        """Ends like a process that is killed: the listener and all connections close."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
        method, target, _ = head[0].split(" ", 2)
        headers = {}
        for line in head[1:]:
            name, colon, value = line.partition(":")
            if colon:
                headers.setdefault(name.strip().lower(), value.strip())
        body = await self.read_body(reader, headers)
        return await self.answer(Request(method, target, headers, body, writer))

    @staticmethod
    async def read_body(reader, headers):
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readline()
            while (await reader.readline()).strip():
                pass
            return body
        return await reader.readexactly(int(headers.get("content-length", 0)))

    async def answer(self, request):
        raise NotImplementedError

    @staticmethod
    async def reply(request, status, body=b"", headers=(), close=False):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        lines = ["HTTP/1.1 %d Status" % status, "Content-Length: %d" % len(body)]
        lines += ["%s: %s" % field for field in headers]
        if close:
            lines.append("Connection: close")
        # A response to HEAD has the headers of the one to GET, and no body.
        sent = b"" if request.method == "HEAD" else body
        request.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + sent)
        await request.writer.drain()
        return not close


class Store(HttpServer):
    """The platform's store: keys with revisions, leases and watches."""

    def __init__(self):
        super().__init__()
        self.revision = 1
        self.items = {}
        self.log = []
        self.leases = {}
        self.ids = itertools.count(1)
        self.changed = asyncio.Event()
        self.calls = 0

    def write(self, key, data, lease=0):
        self.revision += 1
        created = self.items[key]["created_revision"] if key in self.items else self.revision
        item = {"key": key, "data": base64.b64encode(data).decode(), "mod_revision": self.revision,
                "created_revision": created, "lease_id": lease}
        self.items[key] = item
        self.note(item)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.note({"key": key, "mod_revision": self.revision, "compacted": True})

    def note(self, event):
        self.log.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.write(key, json.dumps(value).encode())

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["data"])

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease_id"] == lease]:
            self.remove(key)

    async def expire(self):
        while True:
            now = time.monotonic()
            for lease, (_, until) in list(self.leases.items()):
                if until <= now:
                    self.end_lease(lease)
            await asyncio.sleep(0.02)

    async def answer(self, request):
        self.calls += 1
        path = request.path
        if path == "/v1/kv-key":
            item = self.items.get(request.query.get("key", ""))
            body = {"at": self.revision, **item} if item else {"at": self.revision}
            return await self.reply(request, 200 if item else 404, body)
        if path == "/v1/kv-range":
            return await self.list(request)
        if path == "/v1/kv-watch":
            return await self.watch(request)
        if path == "/v1/kv-txn":
            return await self.change(request, json.loads(request.body))
        if path == "/v1/kv-lease":
            ttl = json.loads(request.body)["ttl_ms"]
            lease = next(self.ids)
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return await self.reply(request, 200, {"lease_id": lease, "ttl_ms": ttl})
        name, _, text = path[len("/v1/"):].partition("/")
        lease = int(text) if text.isdigit() else 0
        if lease not in self.leases:
            return await self.reply(request, 404, {})
        ttl, _ = self.leases[lease]
        if name == "kv-keep":
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
        else:
            self.end_lease(lease)
        return await self.reply(request, 200, {"lease_id": lease, "ttl_ms": ttl})

    async def list(self, request):
        prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        entries = [self.items[key] for key in keys[:500]]
        body = {"entries": entries, "has_more": len(keys) > 500, "at": self.revision}
        return await self.reply(request, 200, body)

    async def watch(self, request):
        prefix, after = request.query.get("prefix", ""), request.number("after", 0)
        until = time.monotonic() + request.number("wait_ms", 0) / 1000
        while True:
            events = [e for e in self.log if e["mod_revision"] > after and e["key"].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return await self.reply(request, 200, {"events": events, "at": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def change(self, request, body):
        rows = body.get("expected", [])
        holds = all(self.items.get(r["key"], {}).get("mod_revision", 0) == r["mod_revision"] for r in rows)
        if not holds:
            now = [self.items.get(r["key"], {"key": r["key"], "mod_revision": 0}) for r in rows]
            return await self.reply(request, 412, {"entries": now})
        writes = body.get("write", [])
        if any(w.get("lease_id", 0) and w["lease_id"] not in self.leases for w in writes):
            return await self.reply(request, 404, {})
        for write in writes:
            self.write(write["key"], base64.b64decode(write["data"]), write.get("lease_id", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return await self.reply(request, 200, {"mod_revision": self.revision})


class Worker(HttpServer):
    """What all workers have: a registration, slots, rejections and a record of runs."""

    def __init__(self, platform, name, service, zone, port, slots):
        super().__init__()
        self.platform = platform
        self.name = name
        self.service = service
        self.zone = zone
        self.port = port
        self.slots = slots
        self.running = 0
        self.state = "healthy"
        self.born = int(time.time() * 1000)

    def entry(self):
        return {"backend": self.service, "address": "127.0.0.1:%d" % self.port, "zone": self.zone,
                "version": "v1", "batch_slots": self.slots, "state": self.state,
                "warmup_remaining_ms": 0, "sequence": 0, "born": self.born}

    def register(self):
        self.platform.store.put("servers/" + self.name, self.entry())

    async def start(self):
        await self.listen("127.0.0.1", self.port)
        self.register()

    def fields(self, request, *more):
        attempt = request.header("X-Attempt-Id")
        return [*([("X-Attempt-Id", attempt)] if attempt else []), ("At-Server", self.name), *more]

    async def reject(self, request, status):
        return await self.reply(request, status, {}, self.fields(request, ("X-Not-Executed", "1")))

    def begin(self, request):
        run = {"at": self.platform.now(), "attempt": request.header("X-Attempt-Id"), "worker": self.name,
               "service": self.service, "path": request.path, "method": request.method,
               "account": request.header("X-Tenant-Id"), "body_bytes": len(request.body)}
        self.platform.record("run", run)
        return run


class PlainWorker(Worker):
    """A worker of a plain service."""

    def __init__(self, platform, name, service, zone, port, slots=64, work_s=0.03):
        super().__init__(platform, name, service, zone, port, slots)
        self.work_s = work_s

    async def answer(self, request):
        if request.header("X-Target-Instance") not in ("", self.name):
            return await self.reject(request, 421)
        if not request.header("X-Attempt-Id"):
            return await self.reject(request, 400)
        if self.running >= self.slots:
            return await self.reject(request, 503)
        self.running += 1
        self.begin(request)
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        load = "%d,0,%d" % (self.running, self.slots)
        signed = self.fields(request, ("X-Origin-Signature", "signed." + self.name), ("X-Backend-Load", load),
                             ("Content-Type", "application/json"))
        return await self.reply(request, 200, {"done": request.header("X-Attempt-Id")}, signed)


class ModelWorker(Worker):
    """A model worker: takes orders, reports, and serves streams as the head of an open group."""

    def __init__(self, platform, name, service, zone, domain, port, models, slots=16, event_s=0.02):
        super().__init__(platform, name, service, zone, port, slots)
        self.domain = domain
        self.models = models
        self.event_s = event_s
        self.sequence = 0
        self.busy = False
        self.group = None
        self.members = []
        self.seen_epoch = 0
        self.last_model = None
        self.staged = []

    def shared_fields(self):
        served = self.group is not None and self.group["state"] != "joining"
        return {"phase": "colocated", "fault_domain": self.domain, "preloaded": list(self.staged),
                "model_list": [{"name": self.last_model, "version": 1, "loras": []}] if served else [],
                "group": self.group, "born": self.born, "sequence": self.sequence}

    def entry(self):
        return {**super().entry(), **self.shared_fields()}

    def report(self):
        return {**self.shared_fields(), "busy": self.busy, "queued": 0, "active": self.running, "kv_usage": 0,
                "kv_limit": 1000000, "request_classes": 0, "pace": 1.0}

    def load_time(self, model):
        spec = self.models[model]
        if model == self.last_model:
            return 0.2
        return spec["warm_s"] if model in self.staged else spec["load_time_s"]

    async def answer(self, request):
        if request.header("X-Target-Instance") not in ("", self.name):
            return await self.reject(request, 421)
        if request.path == "/v1/report":
            return await self.reply(request, 200, self.report(), self.fields(request))
        if request.path == "/v1/order":
            return await self.answer_order(request, json.loads(request.body))
        return await self.stream(request)

    async def answer_order(self, request, order):
        status = self.carry_out(order)
        return await self.reply(request, status, {}, self.fields(request))

    def carry_out(self, order):
        before = dict(self.group) if self.group else None
        status = self.take(order)
        self.platform.record("order", {"at": self.platform.now(), "worker": self.name, "service": self.service,
                                       "order": order, "status": status, "group_before": before})
        return status

    def take(self, order):
        kind = order.get("operation")
        if kind not in ("join", "open", "close", "leave", "phase"):
            return 400
        if kind in ("join", "phase") and order.get("model_id") not in self.models:
            return 409
        if order.get("expected", self.sequence) != self.sequence:
            return 409
        return getattr(self, "take_" + kind)(order)

    def begin_order(self, work):
        self.sequence += 1
        asyncio.ensure_future(work)
        return 202

    def take_phase(self, order):
        model = order["model_id"]
        if model in self.staged:
            return 200

        async def stage():
            await asyncio.sleep(self.models[model]["load_time_s"])
            self.staged = [model]
            self.register()
        return self.begin_order(stage())

    def take_join(self, order):
        same = self.group and (self.group["name"], self.group["epoch"]) == (order["group"], order["epoch"])
        if order["epoch"] < self.seen_epoch or (same and self.members != order["member_list"]):
            return 412
        if same:
            return 200
        if self.busy or self.name not in order["member_list"]:
            return 409
        self.seen_epoch = order["epoch"]
        self.members = order["member_list"]
        group = {"name": order["group"], "epoch": order["epoch"], "rank": self.members.index(self.name),
                 "state": "joining"}
        self.group = group
        model = order["model_id"]

        async def join():
            self.busy = True
            await asyncio.sleep(self.load_time(model))
            self.busy = False
            self.last_model = model
            self.staged = [model]
            if self.group is group:
                group["state"] = "healthy"
            self.register()
        return self.begin_order(join())

    def names_group(self, order):
        return self.group and (self.group["name"], self.group["epoch"]) == (order["group"], order["epoch"])

    def take_open(self, order):
        if not self.names_group(order) or self.group["rank"] != 0:
            return 409
        if self.group["state"] == "open":
            return 200
        if self.group["state"] != "healthy":
            return 409
        group = self.group

        async def open_group():
            await asyncio.sleep(0.1)
            if self.group is group:
                group["state"] = "open"
                self.register()
        return self.begin_order(open_group())

    def take_close(self, order):
        if not self.names_group(order) or self.group["state"] != "open":
            return 409
        self.group["state"] = "healthy"
        self.sequence += 1
        self.register()
        return 202

    def take_leave(self, order):
        if not self.names_group(order):
            return 200
        self.group = None
        self.members = []
        self.sequence += 1
        self.register()
        return 202

    async def stream(self, request):
        is_open = self.group is not None and self.group["rank"] == 0 and self.group["state"] == "open"
        if not is_open or request.header("X-Model-Id") != self.last_model:
            return await self.reject(request, 421)
        if not request.header("X-Attempt-Id"):
            return await self.reject(request, 400)
        if self.running >= self.slots:
            return await self.reject(request, 503)
        self.running += 1
        run = self.begin(request)
        run["members"] = [[name, self.platform.workers[name].service] for name in self.members]
        first = int(request.header("Last-Event-Id") or 0) + 1
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
        head += ["%s: %s" % f for f in self.fields(request, ("X-Origin-Signature", "signed." + self.name),
                                                   ("X-Weight-Versions", "1"))]
        request.writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        try:
            for number in range(first, 11):
                await asyncio.sleep(self.event_s)
                event = b"id: %d\ndata: %d of %s\n\n" % (number, number, request.header("X-Attempt-Id").encode())
                request.writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await request.writer.drain()
            request.writer.write(b"0\r\n\r\n")
            await request.writer.drain()
        finally:
            self.running -= 1
        return True


class Platform:
    """Store, operator and workers, with the record of what happened."""

    def __init__(self, record_path):
        self.store = Store()
        self.workers = {}
        self.started_at = time.monotonic()
        self.lines = []
        self.file = open(record_path, "w", encoding="utf-8")

    def now(self):
        return round(time.monotonic() - self.started_at, 3)

    def record(self, kind, fields):
        self.lines.append((kind, fields))
        self.file.write(json.dumps({"what": kind, **fields}) + "\n")
        self.file.flush()

    def of(self, kind):
        return [fields for what, fields in self.lines if what == kind]

    async def start(self, port, config):
        await self.store.listen("127.0.0.1", port)
        asyncio.ensure_future(self.store.expire())
        self.configure(config)

    def configure(self, config):
        """The operator writes a configuration; the store accepts it at once."""
        self.store.put("op/config", config)
        self.record("configuration", {"at": self.now(), "version": config["version"]})

    async def add(self, worker):
        self.workers[worker.name] = worker
        await worker.start()
        return worker

    def close(self):
        self.store.close()
        for worker in self.workers.values():
            worker.close()
        self.file.close()


def model_service(name, models, slots=16):
    """A service of model workers, as in the operator's configuration."""
    runtime = {"batch_slots": slots, "kv_capacity": 1400000, "stride": 5, "step_ms": 4.0, "per_seq_ms": 0.0,
               "context_per_k": 0.0, "read_per_s": 46000.0, "pairs_per_m": 0.0, "chunk": 2048,
               "report_lag_ms": 50.0, "loads_per_s": 4.0, "loads_at_once": 6, "max_staged": 1, "far_x": 4.0,
               "batch_form_ms": 100.0, "usual": {"prompt": 800, "answer": 50},
               "model_list": [{"name": model, **spec} for model, spec in models.items()]}
    return {"name": name, "health_check_path": "/healthz", "max_connections": 500, "protocol": "h1", "tls": False,
            "runtime": runtime}


def plain_service(name):
    return {"name": name, "health_check_path": "/healthz", "max_connections": 500, "protocol": "h1", "tls": False}


def route(name, service, kind, **more):
    return {"name": name, "hostname": "shop.example", "prefix": "/%s/" % name, "route_type": kind,
            "timeout_ms": 6000, "target_latency_ms": 500, "priority": 1, "backend": service, "max_attempts": 2,
            "public": False, **more}


def configuration(version, routes, services):
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
              "idle_timeout_ms": 15000}
    tenants = [{"name": "shop-0", "api_keys": ["key-of-shop-0"], "priority": 1}]
    return {"version": version, "route_table": routes, "backends": services, "limits": limits, "tenants": tenants}
