"""Prompts begin with some common parts, as those of one assistant do. One further part crashes each model worker that
begins to write an answer on it; the worker is back after 3 s. Three requests with it come within a second, while no
sound request is being answered, and more of them come later. Sound requests share their caller and the common parts."""
import os
import random
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import platform2 as platform  # noqa: E402

COMMON = ["5c1e07a2:400", "91bd3f06:300", "1a40c3d8:120", "2b7d0c41:60", "77e0aa19:40"][:int(os.environ.get("COMMON", "5"))]
DEADLY = "e4402b7d:250"
WORKERS = 10
DAEMONS = 3
EVENTS = 15  # of an answer, one each 50 ms
SOUND_EACH_S = 1.5
BEFORE = 22  # sound requests before the first one with the part
BURST = (0.2, 0.6, 1.0)  # requests with the part after the last of these
DEADLY_EACH_S = 2.0  # afterwards
AFTER = 30  # sound requests afterwards
DOWN_S = 3.0  # of a worker that crashed
CONTACT_S = 3.0  # contact_ms of the sheet
AT_LEAST = 20  # RULES.md, LOST: "20 or more of each"


class World:
    """What the workers have seen."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.crashes = []
        self.begun = set()

    def answer(self, worker, sock, fields):
        """Crashes, or sends EVENTS events."""
        if DEADLY in fields["x-prefix-hash"].split(","):
            with self.lock:
                self.crashes.append(time.monotonic())
            self.record.write("crash   %s by %s" % (worker.name, fields["x-attempt-id"]))
            worker.crash()
            timer = threading.Timer(DOWN_S, worker.restart)
            timer.daemon = True
            timer.start()
            raise platform.Closed()
        with self.lock:
            self.begun.add(fields["x-attempt-id"])
        sock.sendall(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Origin-Signature: %s\r\n"
                      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                      % (fields["x-attempt-id"], worker.name)).encode())
        for number in range(int(fields.get("last-event-id") or 0) + 1, EVENTS + 1):
            event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 70)
            sock.sendall(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(0.05)
        sock.sendall(b"0\r\n\r\n")


def start_store():
    store = platform.Store()
    first = platform.config(5, [platform.route("draft", "/draft/", "streaming", "pool", 8000, stream_resume=True)], [])
    first["backends"].append(platform.engine_service("pool", {"m1": 1}))
    store.put("op/config", first)
    return store


def wait_for_groups(workers):
    """Waits until all but one worker are open; one may be kept in reserve."""
    end = time.monotonic() + 20
    while time.monotonic() < end:
        if sum(1 for w in workers if w.group and w.group["state"] == "open") >= len(workers) - 1:
            time.sleep(2)
            return True
        time.sleep(0.2)
    return False


def schedule():
    """Times of the requests, and whether each has the part that crashes workers."""
    sound = [(SOUND_EACH_S * i, False) for i in range(BEFORE + AFTER)]
    first = SOUND_EACH_S * (BEFORE - 1)
    end = sound[-1][0]
    deadly = [(first + at, True) for at in BURST]
    at = first + 3
    while at < end:
        deadly.append((at, True))
        at += DEADLY_EACH_S
    return sorted(sound + deadly)


def send_requests(daemons, trouble, record):
    """Returns when each sound request was sent, and its id."""
    numbers = random.Random(1)
    sound, threads = [], []
    began = time.monotonic()
    for number, (at, deadly) in enumerate(schedule()):
        time.sleep(max(0, began + at - time.monotonic()))
        own = "%x:20" % numbers.getrandbits(50)
        parts = COMMON + [DEADLY if deadly and trouble else own] + ["%x:5" % numbers.getrandbits(50)]
        attempt = "%s-%d" % ("deadly" if deadly else "sound", number)
        fields = {"X-Model-Id": "m1", "X-Token-Usage": "950,75", "X-Prefix-Hash": ",".join(parts)}
        if not deadly:
            sound.append((time.monotonic(), attempt))
        threads.append(threading.Thread(target=platform.ask, args=(
            daemons[number % DAEMONS], "POST", "/draft/%d" % number, attempt, record, 8, b"prompt", fields)))
        threads[-1].start()
    for thread in threads:
        thread.join()
    return sound


def judge(world, sound, record):
    """LOST: from 2 x contact_ms after the fifth crash (the last, if there are fewer), while such requests still come,
    sound requests of their route with the same key or first part begin at the first attempt less than half as often
    as outside unplanned disruption (20 or more of each)."""
    if not world.crashes:
        share = sum(1 for _, attempt in sound if attempt in world.begun) / len(sound)
        record.write("no worker crashed; %.2f of %d sound requests began" % (share, len(sound)))
        record.write("LOST held" if share > 0.5 else "LOST was broken")
        return 0 if share > 0.5 else 1
    fifth = world.crashes[min(4, len(world.crashes) - 1)]
    before = [attempt in world.begun for at, attempt in sound if at < world.crashes[0]]
    after = [attempt in world.begun for at, attempt in sound if at > fifth + 2 * CONTACT_S]
    record.write("%d crashes; before them %d of %d sound requests began, from %.0f s after the fifth %d of %d"
                 % (len(world.crashes), sum(before), len(before), 2 * CONTACT_S, sum(after), len(after)))
    if len(before) < AT_LEAST or len(after) < AT_LEAST:
        return 2
    broken = sum(after) / len(after) < sum(before) / len(before) / 2
    record.write("LOST was broken" if broken else "LOST held")
    return 1 if broken else 0


def main():
    record = platform.Record(os.path.join(HERE, "record.txt"))
    world = World(record)
    store = start_store()
    workers = [platform.EngineWorker("model-%d" % i, "pool", "m1", store, record, world.answer)
               for i in range(WORKERS)]
    hosts = ["127.0.6.%d" % (i + 1) for i in range(DAEMONS)]
    ports = platform.shared_ports(hosts)
    seeds = ["%s:%d" % (host, ports["peers"]) for host in hosts]
    daemons = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for number, host in enumerate(hosts):
                daemons.append(platform.Daemon(folder, "edge-%d" % number, host, store.address, ports, seeds))
            if not all(d.ready() for d in daemons) or not wait_for_groups(workers):
                record.write("the system did not get ready")
                return 2
            return judge(world, send_requests(daemons, os.environ.get("TROUBLE", "1") != "0", record), record)
        finally:
            for daemon in daemons:
                daemon.end()


if __name__ == "__main__":
    platform.run(main)
