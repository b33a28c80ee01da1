"""Planned stops of two of a zone's three machines, one second apart, while requests keep coming.

TROUBLE=0: the same without the stops.
"""

import http.client
import os
import random
import shutil
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
from standins import Engine, Gateway, NoAnswer, Record, Store, loopback_addresses, new_id, send_request

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "ficu95.example"
MACHINES = 3
REQUESTS_PER_S = 70.0 * MACHINES
DEADLINE_S = 4.0
GAP_S = 1.0
GRACE_S = 8.0
RESTART_S = 0.5
WAVES = [(4.0 + 16.0 * it, (it % 3, (it + 1) % 3)) for it in range(4)]
LENGTH_S = 68.0

CONFIG = {
    "version": 7,
    "routes": [
        {"name": "r-entry", "host": HOST, "path_prefix": "/pule252/", "kind": "non_idempotent", "timeout_ms": 4000,
         "target_latency_ms": 300, "priority": 2, "service": "wuno96b", "max_attempts": 2, "public": False},
        {"name": "r-lookup", "host": HOST, "path_prefix": "/puxa403/", "kind": "idempotent", "timeout_ms": 4000,
         "target_latency_ms": 300, "priority": 2, "service": "wuno96b", "max_attempts": 2, "public": False},
    ],
    "services": [{"name": "wuno96b", "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000},
}


def work_s():
    """Work of the sheet: 60 ms on average, one in a hundred five times as long, 450 ms at most."""
    work = random.uniform(0.03, 0.09)
    return min(work * (5 if random.random() < 0.01 else 1), 0.45)


class Balancer:
    """The platform's: asks each machine once a second, and takes it out after two misses."""

    def __init__(self, gateways):
        self.gateways = gateways
        self.misses = {it.name: 0 for it in gateways}

    def keep_asking(self, stop):
        while not stop.is_set():
            for it in self.gateways:
                self.misses[it.name] = 0 if it.is_ready() else self.misses[it.name] + 1
            stop.wait(1.0)

    def choose(self):
        rotation = [it for it in self.gateways if self.misses[it.name] < 2]
        # Fewer than half of the zone's machines: all of them are used.
        return random.choice(rotation if len(rotation) * 2 >= len(self.gateways) else self.gateways)


def main(folder):
    record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    store = Store(record)
    store.put("keyed.op", "config", CONFIG)
    engines = [Engine(record, store, "wuno96b", "rvk-a", work_s) for _ in range(4)]
    addresses = loopback_addresses(MACHINES)
    gateways = [
        Gateway(folder, f"front-rvk-a-{number + 1}", ip, "rvk-a", store.address, addresses)
        for number, ip in enumerate(addresses)
    ]
    stop, lost, counts = threading.Event(), [], {}
    stopped_at = {it.name: None for it in gateways}
    lock = threading.Lock()

    def count(what):
        with lock:
            counts[what] = counts.get(what, 0) + 1

    def call(gateway):
        id = new_id()
        headers = {"Host": HOST, "X-Request-Id": id, "X-Deadline-Ms": str(int(DEADLINE_S * 1000))}
        method, path, body = random.choice([("POST", "/pule252/2f", b"x" * 600)] * 5 + [("GET", "/puxa403/2f", b"")] * 2)
        connection = http.client.HTTPConnection(gateway.ip, Gateway.PORT, timeout=DEADLINE_S + 1)
        try:
            connection.connect()
        except OSError:
            return count("no connection")
        sent_at = time.monotonic()
        try:
            answer, _ = send_request(connection, method, path, headers, body)
            count(str(answer.status))
        except NoAnswer as error:
            ended_at = time.monotonic()
            runs = [run for it in engines for run in it.runs.get(id, [])]
            since = stopped_at[gateway.name] and sent_at - stopped_at[gateway.name]
            record.note(f"client {method} id={id} to={gateway.name} sent {since} s after SIGTERM, ended after "
                        f"{ended_at - sent_at:.3f} s with no answer ({error}), runs={len(runs)}")
            count("no answer")
            # What was sent within 3 s of the SIGTERM may be excused; what no engine has run may not have been read.
            if runs and since is not None and 3.0 < since <= GRACE_S and ended_at - sent_at < DEADLINE_S:
                lost.append(id)
                record.note(f"LOST: {method} id={id} was passed on and ended without an answer")
        finally:
            connection.close()

    def restart(gateway):
        gateway.process.wait()
        record.note(f"{gateway.name} has ended {time.monotonic() - stopped_at[gateway.name]:.3f} s after SIGTERM")
        time.sleep(RESTART_S)
        stopped_at[gateway.name] = None
        gateway.start(bootstrap=False)

    try:
        for it in gateways:
            it.start(bootstrap=True)
        for it in gateways:
            it.wait_ready()
        balancer = Balancer(gateways)
        threading.Thread(target=balancer.keep_asking, args=(stop,), daemon=True).start()

        def keep_calling():
            while not stop.is_set():
                time.sleep(random.expovariate(REQUESTS_PER_S))
                threading.Thread(target=call, args=(balancer.choose(),), daemon=True).start()

        threading.Thread(target=keep_calling, daemon=True).start()
        start = time.monotonic()
        for at, numbers in WAVES if TROUBLE else []:
            for place, number in enumerate(numbers):
                time.sleep(max(0.0, start + at + place * GAP_S - time.monotonic()))
                gateway = gateways[number]
                stopped_at[gateway.name] = time.monotonic()
                gateway.signal(signal.SIGTERM)
                record.note(f"{gateway.name} gets SIGTERM")
                threading.Thread(target=restart, args=(gateway,), daemon=True).start()
        time.sleep(max(0.0, start + LENGTH_S - time.monotonic()))
        stop.set()
        time.sleep(DEADLINE_S)
    finally:
        stop.set()
        for it in gateways:
            it.end()
    record.note(f"answers: {counts}; lost: {len(lost)}")
    if counts.get("200", 0) < 1000:
        raise RuntimeError(f"too few answers: {counts}")
    return 1 if lost else 0


if __name__ == "__main__":
    folder = tempfile.mkdtemp(prefix="review-")
    try:
        code = main(folder)
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(code)
