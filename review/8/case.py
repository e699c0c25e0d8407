"""A worker in trouble sends the same event of each of its streams again and again, until the relay closes. Requests
for another service, whose worker is sound, are sent to the same daemon meanwhile."""
import os
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import platform2 as platform  # noqa: E402

STREAMS = 6  # at the worker in trouble, which has 26 slots
EVENTS = 27  # of a sound stream
REQUESTS = 32  # for the sound service, one each 125 ms
PERIOD_S = 0.125
TIMEOUT_MS = 800  # of the sound service's routes
DEADLINE_S = 1.5  # of its clients
SLACK_S = 0.5  # RULES.md, CONFIG: "half a second later"
EVENT = b"id: %d\ndata: " + b"x" * 70 + b"\n\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def sound_stream(worker, sock, line, fields, body):
    """Sends a head and EVENTS events, one each 60 ms."""
    send_head(sock, fields)
    for number in range(1, EVENTS + 1):
        sock.sendall(chunk(EVENT % number))
        time.sleep(0.06)
    sock.sendall(b"0\r\n\r\n")
    return True


def endless_stream(worker, sock, line, fields, body):
    """Sends a head, and the first event without end."""
    send_head(sock, fields)
    many = chunk(EVENT % 1) * 20000
    while True:
        sock.sendall(many)


def send_head(sock, fields):
    sock.sendall(("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Origin-Signature: model-1\r\n"
                  "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                  % fields["x-attempt-id"]).encode())


def run_worker(trouble):
    """The process of the streams' worker; prints its port."""
    record = platform.Record(os.devnull)
    worker = platform.Worker("model-1", "pool", record, endless_stream if trouble else sound_stream)
    print(worker.port, flush=True)
    sys.stdin.read()  # until the case ends


def start_platform(record, worker_port):
    store = platform.Store()
    shop = platform.Worker("shop-1", "shop", record, platform.answer_at_once)
    store.put("op/config", platform.config(7, [
        platform.route("draft", "/draft/", "streaming", "pool", 8000, stream_resume=True),
        platform.route("lookup", "/lookup/", "idempotent", "shop", TIMEOUT_MS),
        platform.route("confirm", "/confirm/", "non_idempotent", "shop", TIMEOUT_MS, max_attempts=1),
    ], ["pool", "shop"]))
    store.put("servers/shop-1", shop.entry())
    store.put("servers/model-1", dict(shop.entry(), backend="pool", address="127.0.0.1:%d" % worker_port))
    return store


def send_requests(daemon, record):
    """Sends streams, and requests for the sound service beside them. Returns the answers of the latter."""
    threads = []
    for number in range(STREAMS):
        threads.append(threading.Thread(target=platform.ask, args=(
            daemon, "POST", "/draft/1", "stream-%d" % number, record, 8, b"prompt")))
        threads[-1].start()
    time.sleep(0.3)
    answers = []

    def ask_shop(number):
        lookup = number % 2 == 0
        answers.append(platform.ask(daemon, "GET" if lookup else "POST", "/lookup/1" if lookup else "/confirm/1",
                                    "shop-%d" % number, record, DEADLINE_S))

    for number in range(REQUESTS):
        threads.append(threading.Thread(target=ask_shop, args=(number,)))
        threads[-1].start()
        if number % 8 == 0:
            record.write("readiness question: status %d" % daemon.status_code(0.1))
        time.sleep(PERIOD_S)
    for thread in threads:
        thread.join()
    time.sleep(1.5)  # for requests that reach the worker after their clients have left
    return answers


def judge(answers, record):
    """CONFIG: of the requests that are unanswered at their timeout, more than half, and eight or more, have no
    answer half a second later."""
    limit = TIMEOUT_MS / 1000
    late = [a for a in answers if a.status == 0 or a.took_s > limit]
    unanswered = [a for a in late if a.status == 0 or a.took_s > limit + SLACK_S]
    record.write("%d requests, %d without an answer at the timeout, %d without one half a second later"
                 % (len(answers), len(late), len(unanswered)))
    broken = len(unanswered) >= 8 and 2 * len(unanswered) > len(late) and 4 * len(unanswered) > len(answers)
    record.write("CONFIG was broken" if broken else "CONFIG held")
    return 1 if broken else 0


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = platform.Record(os.path.join(HERE, "record.txt"))
    worker = subprocess.Popen([sys.executable, __file__, "worker", "1" if trouble else "0"],
                              stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    with tempfile.TemporaryDirectory() as folder:
        daemon = None
        try:
            store = start_platform(record, int(worker.stdout.readline()))
            daemon = platform.Daemon(folder, "edge-1", "127.0.0.1", store.address,
                                     platform.shared_ports(["127.0.0.1"]))
            if not daemon.ready():
                record.write("the daemon is not ready")
                return 2
            if platform.ask(daemon, "GET", "/lookup/1", "first", record, DEADLINE_S).status != 200:
                return 2
            return judge(send_requests(daemon, record), record)
        finally:
            if daemon:
                daemon.end()
            worker.kill()
            worker.wait()


if __name__ == "__main__":
    if sys.argv[1:2] == ["worker"]:
        run_worker(sys.argv[2] == "1")
    else:
        platform.run(main)
