"""Another writer keeps an odd entry under servers/; the coordinator is stopped as planned."""

import collections
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
sys.dont_write_bytecode = True
import proxy as p  # noqa: E402
import world as w  # noqa: E402

ENDS = 3       # ends of a process by itself that count against its machine
MACHINES = 2   # a tenth of the machines, two at least
RESTART_S = 2.0  # from an end to the next start of a process
PLAY_S = 45


def odd_entry(copy, base):
    """Returns a copy of a member's entry whose rank is -1 as an unsigned number of 32 bits."""
    return {"backend": "hosted-models", "address": f"127.0.0.1:{base + 99}", "zone": "malmo",
            "version": "v1", "batch_slots": 4, "state": "healthy", "warmup_remaining_ms": 0,
            "phase": "colocated", "born": 1, "sequence": 1, "fault_domain": "malmo-fabric",
            "model_list": [{"name": "large", "version": 1, "loras": []}], "preloaded": [],
            "group": {"name": copy, "epoch": int(copy[1:].split(".")[0]), "rank": 4294967295,
                      "state": "healthy"}}


def case(world):
    for port in world.worker_ports().values():
        p.PlainWorkerProxy(port)
    world.start_daemons(p.RewritingStoreProxy)
    w.wait_until(25, lambda: world.copies() >= 9, "copies are open")
    time.sleep(2)
    copies = [row["copy"] for row in world.operator("/workers")
              if row["zone"] == "malmo" and row["state"] == "open" and row["model"] == "large"]
    if not copies:
        raise w.CannotRun("no copy of the large model in malmo")
    if w.TROUBLE:
        entry = odd_entry(copies[0], world.base)
        p.RewritingStoreProxy.other_writers_item = ("servers/m-other", entry)
        world.note(f"another writer writes servers/m-other: {entry}")
    time.sleep(4)
    first = world.coordinator("malmo")
    world.note(f"planned stop: SIGTERM to {first.host}, coordinator of malmo")
    first.process.send_signal(signal.SIGTERM)
    ends = collections.Counter()
    stopped = {first.host}
    starts = {}
    asked = collections.Counter()
    end = time.monotonic() + PLAY_S
    while time.monotonic() < end:
        for daemon in world.daemons:
            status = daemon.process.poll()
            if status is None:
                continue
            if daemon.host in starts:
                if time.monotonic() >= starts[daemon.host]:
                    del starts[daemon.host]
                    daemon.start(False)
                continue
            if daemon.host in stopped:
                stopped.discard(daemon.host)
                world.note(f"{daemon.host} has stopped with status {status}")
            else:
                ends[daemon.host] += 1
                world.note(f"{daemon.host} ended by itself: "
                           f"{signal.Signals(-status).name if status < 0 else status}")
            starts[daemon.host] = time.monotonic() + RESTART_S
        status, _ = world.daemons[1].ask("/lookup/1", f"l-{sum(asked.values())}", timeout=2)
        asked[status] += 1
        time.sleep(0.1)
    world.note(f"lookups at {world.daemons[1].host} by status (0: no answer): {dict(asked)}")
    world.note(f"ends by themselves: {dict(ends)}")
    return sum(count >= ENDS for count in ends.values()) >= MACHINES


w.run_case(case, FOLDER, daemons_per_zone=2)
