"""Clients ask for the head of a resource and then, on the same connection, for the resource."""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

import daemons3
import standin3

ZONES = ["malmo", "lund", "ystad"]
MACHINES = range(len(ZONES))
CLIENTS = 2        # of each machine
TURNS = 10         # pairs of requests of each client
PAUSE_S = 0.2      # between two requests
DEADLINE_MS = 1500


def is_status_line(line):
    return line.startswith(b"HTTP/1.1 ") and line[9:12].isdigit() and line.endswith(b"\r\n")


async def ask_kept(platform, connection, method, attempt):
    """Sends one request on a kept connection. Returns the status; None when the bytes are no answer."""
    reader, writer = connection
    headers = {"X-Attempt-Id": attempt, "Authorization": "Bearer key-of-shop-0", "X-Deadline-Ms": str(DEADLINE_MS)}
    platform.record("sent", {"at": platform.now(), "attempt": attempt, "method": method})
    writer.write(daemons3.encode(method, "/lookup/1", headers, b""))
    first = await asyncio.wait_for(reader.readline(), DEADLINE_MS / 1000 + 1)
    if not is_status_line(first):
        first += await asyncio.wait_for(reader.read(200), 1)
        platform.record("no answer in the protocol", {"at": platform.now(), "attempt": attempt, "method": method,
                                                      "bytes": first.decode("latin1")})
        return None
    length = 0
    while (line := await asyncio.wait_for(reader.readline(), 2)).strip():
        name, _, value = line.decode("latin1").partition(":")
        length = int(value) if name.lower() == "content-length" else length
    body = b"" if method == "HEAD" else await asyncio.wait_for(reader.readexactly(length), 2)
    status = int(first[9:12])
    platform.record("answered", {"at": platform.now(), "attempt": attempt, "method": method, "status": status,
                                 "length": length, "body": body.decode("latin1")})
    return status


async def client(platform, daemons, index, name, first_method):
    for turn in range(TURNS):
        connection = await asyncio.open_connection(*daemons.address(index))
        try:
            for method in (first_method, "GET"):
                if await ask_kept(platform, connection, method, "%s-%d-%s" % (name, turn, method.lower())) is None:
                    break
                await asyncio.sleep(PAUSE_S)
        except (OSError, EOFError, asyncio.TimeoutError, ValueError) as error:
            platform.record("failed", {"at": platform.now(), "client": name, "turn": turn, "error": repr(error)})
        finally:
            connection[1].close()


async def main(trouble, record):
    port = daemons3.free_ports(40)
    platform = standin3.Platform(record)
    daemons = daemons3.Daemons(port, port + 20, ZONES)
    try:
        await platform.start(port, standin3.configuration(7, [standin3.route("lookup", "shop", "idempotent")],
                                                          [standin3.plain_service("shop")]))
        for number in range(3):
            await platform.add(standin3.PlainWorker(platform, "p-%d" % number, "shop", ZONES[number],
                                                    port + 1 + number))
        for index in MACHINES:
            daemons.start(index)
        for index in MACHINES:
            await daemons.until_ready(index)
        await asyncio.sleep(2)
        await asyncio.gather(*[client(platform, daemons, index, "c%d-%d" % (index, number),
                                      "HEAD" if trouble else "OPTIONS")
                               for index in MACHINES for number in range(CLIENTS)])
        return judge(platform)
    finally:
        daemons.close()
        platform.close()


def judge(platform):
    answers = platform.of("answered")
    ran = {run["attempt"] for run in platform.of("run")}
    wrong = platform.of("no answer in the protocol")
    heads = [a for a in answers if a["method"] == "HEAD"]
    result = {"sent": len(platform.of("sent")), "answered_200": sum(a["status"] == 200 for a in answers),
              "bytes_that_are_no_answer": len(wrong), "failed": len(platform.of("failed")),
              "heads_that_ran": sum(a["attempt"] in ran for a in heads),
              "heads_answered_200": sum(a["status"] == 200 for a in heads)}
    platform.record("result", result)
    print(json.dumps(result))
    if not ran:
        return 2
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(daemons3.play(main(os.environ.get("TROUBLE", "1") != "0", sys.argv[1])))
