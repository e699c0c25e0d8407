"""Proxies that know HTTP: one before the store, one before a worker."""

import base64
import json
import socket
import threading
import time

WORKER_HOST = "127.0.1.1"  # where the proxies of the workers listen, each on its worker's port


def read_message(connection, rest):
    """Reads one message with a length. Returns head, body and what came after it; None at the end."""
    while b"\r\n\r\n" not in rest:
        data = connection.recv(65536)
        if not data:
            return None
        rest += data
    head, rest = rest.split(b"\r\n\r\n", 1)
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, value = line.split(b":", 1)
        if name.strip().lower() == b"content-length":
            length = int(value)
    while len(rest) < length:
        data = connection.recv(65536)
        if not data:
            return None
        rest += data
    return head, rest[:length], rest[length:]


def with_body(head, body):
    """Returns a message with another body."""
    lines = [line for line in head.split(b"\r\n") if not line.lower().startswith(b"content-length")]
    return b"\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def listen(address):
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(address)
    listener.listen(256)
    return listener


def serve(listener, handler):
    def accept():
        while True:
            try:
                caller, _ = listener.accept()
            except OSError:
                return
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=run, args=(caller,), daemon=True).start()

    def run(caller):
        try:
            handler(caller)
        except OSError:
            pass
        finally:
            caller.close()

    threading.Thread(target=accept, daemon=True).start()


def pump(source, sink):
    """Forwards bytes until the source ends, then closes both."""
    try:
        while True:
            data = source.recv(65536)
            if not data:
                break
            sink.sendall(data)
    except OSError:
        pass
    for end in (source, sink):
        try:
            end.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


class RewritingStoreProxy:
    """Forwards the store's calls; entries of workers get the addresses of the workers' proxies."""

    # An item that another writer keeps in the store, as (key, entry); None for none.
    other_writers_item = None
    WRITE_PERIOD_S = 1.0  # between two writes of the other writer

    def __init__(self, target):
        self.target = target
        self.told_at = 0.0
        listener = listen(("127.0.0.1", 0))
        self.port = listener.getsockname()[1]
        serve(listener, self._forward)

    def _forward(self, caller):
        server = socket.create_connection(self.target, 5)
        server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        server.settimeout(None)
        try:
            from_caller, from_server = b"", b""
            while True:
                request = read_message(caller, from_caller)
                if request is None:
                    return
                from_caller = request[2]
                server.sendall(request[0] + b"\r\n\r\n" + request[1])
                answer = read_message(server, from_server)
                if answer is None:
                    return
                from_server = answer[2]
                caller.sendall(with_body(answer[0], self._answer(answer[1])))
        finally:
            server.close()


    def _answer(self, body):
        """Returns an answer of the store with the proxies' addresses and the other writer's item."""
        try:
            answer = json.loads(body)
        except ValueError:
            return body
        rewrite(answer)
        if self.other_writers_item and "at" in answer:
            key, entry = self.other_writers_item
            item = {"key": key, "data": base64.b64encode(json.dumps(entry).encode()).decode(),
                    "mod_revision": answer["at"], "created_revision": 1, "lease_id": 0}
            is_due = time.monotonic() - self.told_at >= self.WRITE_PERIOD_S
            if "entries" in answer and not answer.get("has_more"):
                answer["entries"].append(item)
            elif "events" in answer and is_due:
                self.told_at = time.monotonic()
                answer["events"].append(item)
        return json.dumps(answer).encode()


def rewrite(answer):
    """Gives the workers' entries in an answer of the store the addresses of their proxies."""
    rows = [answer] + answer.get("entries", []) + answer.get("events", [])
    for row in rows:
        if row.get("key", "").startswith("servers/") and "data" in row:
            entry = json.loads(base64.b64decode(row["data"]))
            entry["address"] = entry["address"].replace("127.0.0.1", WORKER_HOST)
            row["data"] = base64.b64encode(json.dumps(entry).encode()).decode()


def echo_of(head):
    """Returns the header lines that echo the identifier of a request, if it has one."""
    for line in head.split(b"\r\n")[1:]:
        name, value = line.split(b":", 1)
        if name.strip().lower() == b"x-attempt-id":
            return b"\r\nX-Attempt-Id: " + value.strip()
    return b""


class PlainWorkerProxy:
    """Forwards the connections of one worker unchanged."""

    def __init__(self, port):
        self.port = port
        serve(listen((WORKER_HOST, port)), self._forward)

    def _forward(self, caller):
        server = socket.create_connection(("127.0.0.1", self.port), 5)
        server.settimeout(None)
        threading.Thread(target=pump, args=(server, caller), daemon=True).start()
        pump(caller, server)


class FaultyWorkerProxy:
    """Forwards the calls of one worker. Once armed, one order gets no answer and is carried out
    late, and a second copy of the answer before it comes where its answer is expected."""

    def __init__(self, port, note):
        self.port = port
        self.note = note
        self.late_s = None  # how late the next order is carried out; None for at once
        self.answers = 0
        self.copies = 0
        self.orders = []
        serve(listen((WORKER_HOST, port)), self._forward)

    def _forward(self, caller):
        server = socket.create_connection(("127.0.0.1", self.port), 5)
        server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        server.settimeout(None)
        try:
            self._serve(caller, server)
        finally:
            server.close()

    def _serve(self, caller, server):
        last, from_caller, from_server = None, b"", b""
        while True:
            request = read_message(caller, from_caller)
            if request is None:
                return
            head, body, from_caller = request
            if b" /v1/" not in head.split(b"\r\n")[0]:
                # Requests of clients come on connections of their own.
                server.sendall(head + b"\r\n\r\n" + body + from_caller)
                self.answers += 1
                threading.Thread(target=pump, args=(server, caller), daemon=True).start()
                pump(caller, server)
                return
            is_order = b"/v1/order" in head.split(b"\r\n")[0]
            if is_order:
                order = json.loads(body)
                self.orders.append(order)
                if self.late_s is not None and last is not None and order["operation"] == "leave":
                    self._misbehave(caller, server, head, body, last)
                    return
            server.sendall(head + b"\r\n\r\n" + body)
            answer = read_message(server, from_server)
            if answer is None:
                return
            from_server = answer[2]
            last = answer[0] + echo_of(head) + b"\r\n\r\n" + answer[1]
            if is_order:
                self.note(f"order {order['operation']} of {order.get('group', '-')} to "
                          f"127.0.0.1:{self.port}: {last.split(b' ', 2)[1].decode()}")
            caller.sendall(last)
            self.answers += 1

    def _misbehave(self, caller, server, head, body, last):
        late, self.late_s = self.late_s, None
        self.copies += 1
        self.note(f"the head gets the order {body.decode()}; it sends a second copy of its answer "
                  f"before ({last.split(chr(13).encode())[0].decode()}), and carries the order out "
                  f"{late} s later, without an answer")
        caller.sendall(last)
        time.sleep(late)
        server.sendall(head + b"\r\n\r\n" + body)
        answer = read_message(server, b"")
        self.note("the late order is carried out: "
                  + (answer[0].split(b"\r\n")[0].decode() if answer else "no answer"))
