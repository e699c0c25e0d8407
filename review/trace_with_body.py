"""No case: a request that no sound client sends ends the daemon. Sends one TRACE request with a body, leaves, and tells
how the daemon's process is. Exit status: 1 it has ended, 0 it runs on."""
import os
import socket
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import platform2 as platform  # noqa: E402


def main():
    record = platform.Record(os.devnull)
    with tempfile.TemporaryDirectory() as folder:
        store = platform.Store()
        store.put("op/config", platform.config(5, [platform.route("lookup", "/lookup/", "idempotent", "shop", 800)],
                                               ["shop"]))
        store.put("servers/shop-1", platform.Worker("shop-1", "shop", record, platform.answer_at_once).entry())
        daemon = platform.Daemon(folder, "edge-1", "127.0.0.1", store.address, platform.shared_ports(["127.0.0.1"]))
        try:
            if not daemon.ready():
                return 2
            time.sleep(1)
            with socket.create_connection((daemon.host, daemon.ports["callers"]), 1) as sock:
                sock.settimeout(2)
                sock.sendall(b"TRACE /lookup/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: t\r\n"
                             b"Authorization: Bearer key-of-shop-0\r\nContent-Length: 1\r\n\r\nx")
                try:
                    print("answer:", sock.recv(1000)[:60])
                except socket.timeout:
                    print("no answer within 2 s")
            after = platform.ask(daemon, "GET", "/lookup/1", "after", record, 1)
            time.sleep(0.5)
            print("next request: status", after.status, after.error)
            print("exit status of the daemon:", daemon.process.poll())
            return 0 if daemon.process.poll() is None else 1
        finally:
            daemon.end()


if __name__ == "__main__":
    platform.run(main)
