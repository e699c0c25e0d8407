"""Three of nine machines, the coordinators, get no answer of the store; a key is withdrawn."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
sys.dont_write_bytecode = True
import world as w  # noqa: E402

CONFIG_APPLY_S = 2.0  # config_apply_ms of the site
KEYS = {"tenants": [{"name": "shop-0", "api_keys": ["key-of-shop-0", "second-key"],
                     "priority": 1}]}
KEYS_LEFT = {"tenants": [{"name": "shop-0", "api_keys": ["key-of-shop-0"], "priority": 1}]}


def case(world):
    world.start_daemons()
    w.wait_until(20, lambda: world.copies() >= 9, "copies are open")
    w.wait_until(20, lambda: all(world.coordinator(zone) for zone in w.ZONES), "coordinators")
    time.sleep(3)
    world.operator("/config", KEYS)
    w.wait_until(10, lambda: all(d.ask("/lookup/1", f"new-{d.host}", "second-key")[0] == 200
                                 for d in world.daemons), "the key is in force")
    time.sleep(4)
    coordinators = {world.coordinator(zone) for zone in w.ZONES}
    if len(coordinators) != 3:
        raise w.CannotRun("one daemon coordinates two zones")
    others = [daemon for daemon in world.daemons if daemon not in coordinators]
    results = []
    acked = []

    def press(daemon):
        number = 0
        while not acked or time.monotonic() < acked[0] + 6:
            number += 1
            sent = time.monotonic()
            attempt = f"r-{daemon.host}-{number}"
            status, _ = daemon.ask("/lookup/1", attempt, "second-key")
            results.append((sent, daemon.host, attempt, status))
            time.sleep(0.04)

    threads = [threading.Thread(target=press, args=(daemon,), daemon=True) for daemon in others]
    for thread in threads:
        thread.start()
    time.sleep(0.5)
    if w.TROUBLE:
        for daemon in coordinators:
            daemon.proxy.silent = True
            world.note(f"the store stops answering {daemon.host}, coordinator of {daemon.zone}")
    world.operator("/config", KEYS_LEFT)
    acked.append(time.monotonic())
    world.note("the store has acknowledged the version without the key second-key")
    for thread in threads:
        thread.join()
    for daemon in world.daemons:
        daemon.proxy.silent = False
    late = 0
    for sent, host, attempt, status in sorted(results):
        after = sent - acked[0]
        runs = world.operator(f"/runs?attempt={attempt}")["runs"] if after > CONFIG_APPLY_S else "-"
        breach = after > CONFIG_APPLY_S and runs != 0
        late += breach
        if after > 1.5:
            world.records.append(
                f"sent {after:7.3f} s after the acknowledgement to {host}: {attempt}, status "
                f"{status}, runs {runs}{'  BROKEN' if breach else ''}")
    world.note(f"{late} requests with the withdrawn key were run that had been sent more than "
               f"{CONFIG_APPLY_S} s after the acknowledgement")
    return late > 0


w.run_case(case, FOLDER, daemons_per_zone=3)
