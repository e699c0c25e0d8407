"""The settings files change: a figure becomes a fraction. Then the machines are stopped and started in turn."""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

import daemons3
import standin3

ZONES = ["malmo", "lund", "ystad", "malmo"]
MACHINES = range(len(ZONES))
CHANGED = [0, 1]   # machines whose settings change: half of them, 0.6 is allowed
RESTART_S = 0.5    # from the end of a process to its next start
GAP_S = 1.4        # between two machines that are stopped and started
LAST_S = 10.0      # after the last machine was started
PAUSE_S = 0.1      # between two requests of a client
MAX_ENDS = 3       # ends of its own by which a machine counts for the rule
MIN_MACHINES = 2   # such machines by which the rule is broken


class Machines:
    """Starts the daemons, starts each one again that ends, and counts ends that nobody asked for."""

    def __init__(self, platform, daemons):
        self.platform = platform
        self.daemons = daemons
        self.stopping = set()
        self.ends = {index: [] for index in MACHINES}

    async def watch(self, index):
        while True:
            code = self.daemons.processes[index].poll()
            if code is None:
                await asyncio.sleep(0.05)
                continue
            asked = index in self.stopping
            self.stopping.discard(index)
            if not asked:
                self.ends[index].append(self.platform.now())
            self.platform.record("ended", {"at": self.platform.now(), "machine": index, "code": code, "asked": asked,
                                           "last_words": self.daemons.log(index)[-160:] if not asked else ""})
            await asyncio.sleep(RESTART_S)
            self.daemons.start(index, first=False)

    async def stop_and_start(self, index):
        process = self.daemons.processes[index]
        self.stopping.add(index)
        self.platform.record("stopped", {"at": self.platform.now(), "machine": index})
        process.send_signal(signal.SIGTERM)
        for _ in range(int(daemons3.GRACE_S * 20)):
            if process.poll() is not None:
                return
            await asyncio.sleep(0.05)
        if process.poll() is None:
            process.kill()


async def client(platform, daemons, index):
    """Sends to the machine of its zone or, as the platform does, to another one where that does not listen."""
    number = 0
    while True:
        number += 1
        for offset in MACHINES:
            attempt = "a%d-%d-%d" % (index, number, offset)
            headers = {"X-Attempt-Id": attempt, "Authorization": "Bearer key-of-shop-0", "X-Deadline-Ms": "1500"}
            platform.record("sent", {"at": platform.now(), "attempt": attempt,
                                     "machine": (index + offset) % len(ZONES)})
            status, _ = await daemons3.ask(daemons.address((index + offset) % len(ZONES)), "GET", "/lookup/1", headers,
                                           b"", 2)
            if status != 0:
                break
        platform.record("answered", {"at": platform.now(), "attempt": attempt, "status": status})
        await asyncio.sleep(PAUSE_S)


async def main(trouble, record):
    port = daemons3.free_ports(40)
    platform = standin3.Platform(record)
    daemons = daemons3.Daemons(port, port + 20, ZONES)
    machines = Machines(platform, daemons)
    tasks = []
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
        tasks += [asyncio.ensure_future(machines.watch(index)) for index in MACHINES]
        tasks += [asyncio.ensure_future(client(platform, daemons, index)) for index in MACHINES]
        await asyncio.sleep(4)
        figures = {**daemons.figures, "grace_period_s": 7.5 if trouble else 7}
        for index in CHANGED:
            platform.record("settings", {"at": platform.now(), "machine": index, "timing_bounds": figures})
            daemons.changed[index] = figures
            daemons.place_settings(index, False)
            daemons.processes[index].send_signal(signal.SIGHUP)
        await asyncio.sleep(3)
        for index in MACHINES:
            await machines.stop_and_start(index)
            await asyncio.sleep(RESTART_S + GAP_S)
        started = platform.now()
        await asyncio.sleep(LAST_S)
        if any(task.done() for task in tasks):
            return 2
        return judge(platform, machines, started)
    finally:
        for task in tasks:
            task.cancel()
        daemons.close()
        platform.close()


def judge(platform, machines, started):
    late = [a for a in platform.of("answered") if a["at"] > started + 2]
    result = {"ends_of_their_own": {index: len(ends) for index, ends in machines.ends.items()},
              "served_at_the_end": sum(a["status"] == 200 for a in late), "asked_at_the_end": len(late)}
    platform.record("result", result)
    print(json.dumps(result))
    before = [a for a in platform.of("answered") if a["at"] < 4]
    if sum(a["status"] == 200 for a in before) < len(before) / 2:
        return 2
    return 1 if sum(len(ends) >= MAX_ENDS for ends in machines.ends.values()) >= MIN_MACHINES else 0


if __name__ == "__main__":
    sys.exit(daemons3.play(main(os.environ.get("TROUBLE", "1") != "0", sys.argv[1])))
