"""Randomized soak test: router processes under injected faults.

Connections from routers to upstreams and to the store pass through loopback
proxies that delay data, reset or refuse connections, or discard data in one or
both directions. Processes are suspended, killed, stopped and restarted by
signals. Meanwhile the configuration changes, keys are revoked and upstreams
drain. The test compares the responses that callers received with the runs that
upstreams recorded.

usage: soak.py [--seed N] [--seconds S] [--build DIR] [--keep]

Exits with 0 if every guarantee held and with 1 if one was violated."""
import argparse
import http.client
import json
import os
import random
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "..", "utils"))

import store_standin
from fleet import free_ports

ROUTERS = 3
ENGINES = 3
PLAIN_UPSTREAMS = 2
CALLERS = 8
#: Listed upstreams of a service that no route names.
IDLE_UPSTREAMS = 60
STREAM_EVENTS = 12
REVOCATION_BOUND_S = 5.0
DRAIN_S = 2.0
#: Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Proxy:
    """Forwards connections to `target_port` and injects faults by `mode`.

    Modes: pass, refuse (closes new connections), slow (delays data by 0.15 s),
    silent (discards all data) and one_way (discards all data from the moment
    the target sends some).
    """

    def __init__(self, port, target_port):
        self.mode = "pass"
        self._target_port = target_port
        self._open_pairs = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", port), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def reset_all(self):
        with self._lock:
            pairs = list(self._open_pairs)
        for pair in pairs:
            for endpoint in pair:
                try:
                    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                    b"\x01\0\0\0\0\0\0\0")
                    endpoint.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass  # already closed

    def _accept(self):
        while True:
            caller, _ = self._listener.accept()
            if self.mode == "refuse":
                caller.close()
                continue
            try:
                upstream = socket.create_connection(
                    ("127.0.0.1", self._target_port), timeout=2)
            except OSError:
                caller.close()
                continue
            pair = (caller, upstream)
            with self._lock:
                self._open_pairs.add(pair)
            threading.Thread(target=self._forward, args=(pair,),
                             daemon=True).start()

    def _forward(self, pair):
        caller, upstream = pair
        for endpoint in pair:
            endpoint.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        discarding = False
        try:
            while True:
                readable, _, _ = select.select(pair, [], [], 0.2)
                for endpoint in readable:
                    data = endpoint.recv(65536)
                    if not data:
                        return
                    mode = self.mode
                    # A connection that has discarded data forwards nothing
                    # more: later bytes would follow a gap.
                    discarding = discarding or mode == "silent" or (
                        mode == "one_way" and endpoint is upstream)
                    if discarding:
                        continue
                    if mode == "slow":
                        time.sleep(0.15)
                    (upstream if endpoint is caller else caller).sendall(data)
        except OSError:
            pass  # either end closed
        finally:
            for endpoint in pair:
                endpoint.close()
            with self._lock:
                self._open_pairs.discard(pair)


class Process:
    """A child process that can be signalled and restarted."""

    def __init__(self, command, log_path):
        self._command = command
        self._log_path = log_path
        self.child = None
        self.start()

    def start(self):
        # The end of an overlapping fault may have restarted the process.
        if self.child is not None and self.child.poll() is None:
            return
        with open(self._log_path, "ab") as log:
            self._log_start = log.tell()
            self.child = subprocess.Popen(self._command, stdout=log,
                                          stderr=log)

    def has_logged(self):
        """Returns whether the process has logged anything since its start."""
        return os.path.getsize(self._log_path) > self._log_start

    def send_signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def stop(self, timeout=9):
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()


class Soak:
    """One soak run: its processes, callers, faults and recorded results."""

    def __init__(self, options):
        self.random = random.Random(options.seed)
        self.options = options
        self.work_dir = tempfile.mkdtemp(prefix="baobab-soak-")
        self.store = store_standin.Store()
        self.config_version = 0
        # API key to customer.
        self.keys = {f"key-{index}": f"c{index}" for index in range(4)}
        self.revocation_times = {}
        self.drained = {}
        # Does not change the sequence of faults of a seed.
        self.idle_random = random.Random(options.seed)
        self.idle_upstreams = []
        self.requests = []
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.recovery_deadline = None
        self.failures = []

    def start(self):
        store_port, *ports = free_ports(
            1 + ROUTERS * 4 + (ENGINES + PLAIN_UPSTREAMS) * 2)
        store_standin.serve(self.store, store_port)
        self.store_proxies = []
        self.routers = []
        self.router_ports = []
        self.status_ports = []
        self.upstreams = []
        self.upstream_proxies = []
        self.write_config()
        self.write_idle_upstreams()
        for index in range(ENGINES + PLAIN_UPSTREAMS):
            upstream_port, proxy_port, *ports = ports
            self.upstream_proxies.append(Proxy(proxy_port, upstream_port))
            upstream_id = f"i-{index}"
            self.upstreams.append(Process(
                [sys.executable, f"{HERE}/upstream_standin.py",
                 str(upstream_port), upstream_id, f"{self.work_dir}/runs",
                 str(self.options.seed * 100 + index)],
                f"{self.work_dir}/upstream-{index}.log"))
            self.write_upstream(index, proxy_port)
        for index in range(ROUTERS):
            listen_port, ready_port, control_port, proxy_port, *ports = ports
            self.store_proxies.append(Proxy(proxy_port, store_port))
            path = f"{self.work_dir}/router-{index}.settings"
            with open(path, "w", encoding="utf-8") as file:
                file.write(
                    "[baobabd]\n"
                    f"router-name=r{index}\ndata-centre=a\n"
                    f"listen=127.0.0.1:{listen_port}\n"
                    f"ready-listen=127.0.0.1:{ready_port}\n"
                    f"control-listen=127.0.0.1:{control_port}\n"
                    f"directory=127.0.0.1:{proxy_port}\nshutdown-timeout=8\n")
            self.router_ports.append(listen_port)
            self.status_ports.append(ready_port)
            self.routers.append(Process(
                [f"{self.options.build}/tools/baobabd/baobabd",
                 "--settings-file", path],
                f"{self.work_dir}/router-{index}.log"))
        threading.Thread(target=self.expire_leases_periodically,
                         daemon=True).start()

    def expire_leases_periodically(self):
        while not self.stopping.is_set():
            self.store.expire_leases()
            time.sleep(0.2)

    def write_config(self):
        self.config_version += self.random.randint(1, 3)
        route = {"hostname": "soak.example", "goalMs": 300, "priority": 1,
                 "attempts": 2, "public": False}
        customers = {}
        for key, name in self.keys.items():
            customers.setdefault(name, []).append(key)
        self.store.write("op/config", json.dumps({
            "version": self.config_version,
            "routes": [
                {**route, "name": "s", "prefix": "/safe/", "routeKind": "safe",
                 "timeoutMs": 2000, "service": "plain"},
                {**route, "name": "u", "prefix": "/unsafe/",
                 "routeKind": "unsafe", "timeoutMs": 2000, "attempts": 1,
                 "service": "plain"},
                {**route, "name": "e", "prefix": "/stream/",
                 "routeKind": "streaming", "timeoutMs": 4000,
                 "service": "engine", "affinity": True, "resumable": True,
                 "gapAimMs": 300}],
            "services": [
                {"name": name, "healthPath": "/healthz", "maxConns": 100,
                 "coldStartS": 0, "coldPerS": 0}
                for name in ("plain", "engine")],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": name, "apiKeys": keys}
                        for name, keys in customers.items()]}))

    def write_upstream(self, index, port, phase="ready"):
        self.store.write(f"servers/i-{index}", json.dumps({
            "service": "engine" if index < ENGINES else "plain",
            "address": f"127.0.0.1:{port}", "zone": "a", "version": "v1",
            "slots": 8, "phase": phase, "coldLeftMs": 0, "seq": 1,
            "born": 1}))

    def write_idle_upstreams(self):
        while len(self.idle_upstreams) < IDLE_UPSTREAMS:
            name = f"servers/idle-{self.idle_random.getrandbits(48):012x}"
            self.idle_upstreams.append(name)
            self.store.write(name, json.dumps({
                "service": "idle", "address": "127.0.0.1:1", "zone": "a",
                "version": "v1", "slots": 8, "phase": "ready", "coldLeftMs": 0,
                "seq": 1, "born": 1}))

    # Callers.

    def run_caller(self, caller_number):
        generator = random.Random(self.options.seed * 1000 + caller_number)
        connection = None
        while not self.stopping.is_set():
            kind = generator.choice(["safe", "unsafe", "unsafe", "stream"])
            with self.lock:
                key = generator.choice(
                    list(self.keys) + list(self.revocation_times))
            request_id = f"{caller_number}-{generator.getrandbits(48):x}"
            try:
                if connection is None:
                    port = generator.choice(self.router_ports)
                    connection = http.client.HTTPConnection(
                        "127.0.0.1", port, timeout=6)
                reusable = self.send_request(connection, kind, key,
                                             request_id)
            except (OSError, http.client.HTTPException):
                self.record_request(request_id, kind, key, None)
                reusable = False
            if not reusable or generator.random() < 0.1:
                connection.close()
                connection = None
            time.sleep(generator.uniform(0, 0.04))

    def send_request(self, connection, kind, key, request_id):
        method = "POST" if kind != "safe" else "GET"
        sent_at = time.time()
        headers = {"Host": "soak.example", "Api-Key": key,
                   "X-Request-Id": request_id, "X-Deadline-Ms": "4000"}
        if kind == "stream":
            headers["X-Prompt-Prefix"] = "a:100,b:50,c:10"
        body = b"x" * 200 if method == "POST" else None
        connection.request(method, f"/{kind}/1", body, headers)
        response = connection.getresponse()
        response_body = response.read()
        self.record_request(request_id, kind, key, response.status,
                            sent_at=sent_at)
        if response.status == 200:
            self.check_success(request_id, kind, response, response_body)
        return response.getheader("Connection", "") != "close"

    def check_success(self, request_id, kind, response, body):
        stamp = response.getheader("X-Server-Stamp") or ""
        if not stamp.endswith("." + request_id):
            self.record_failure(f"{request_id}: 200 with stamp '{stamp}'")
        if kind != "stream":
            if body.decode() != f"answer to {request_id}":
                self.record_failure(f"{request_id}: wrong body")
            return
        expected = "".join(f"id: {number}\ndata: {request_id}\n\n"
                           for number in range(1, STREAM_EVENTS + 1))
        if body.decode() != expected:
            self.record_failure(
                f"{request_id}: events missing, repeated or merged")

    def record_request(self, request_id, kind, key, status, sent_at=None):
        with self.lock:
            self.requests.append((request_id, kind, key, status,
                                 sent_at or time.time()))

    def record_failure(self, message):
        with self.lock:
            self.failures.append(message)

    # Faults.

    def inject_fault(self):
        """Starts a random fault.

        Returns the function that ends it, or None if the fault needs no end.
        """
        return self.random.choice([
            self.cut_store, self.cut_upstream, self.pause_router,
            self.kill_router, self.stop_router, self.pause_upstream,
            self.kill_upstream, self.change_config, self.revoke_key,
            self.drain_upstream, self.reset_connections,
            self.compact_store_history])()

    def impair(self, proxy):
        """Sets a random fault mode on `proxy`; returns the function that
        ends it.
        """
        proxy.mode = self.random.choice(["silent", "refuse", "slow",
                                         "one_way"])
        if proxy.mode == "refuse":
            proxy.reset_all()

        def end_fault():
            proxy.mode = "pass"
        return end_fault

    def cut_store(self):
        return self.impair(self.random.choice(self.store_proxies))

    def cut_upstream(self):
        return self.impair(self.random.choice(self.upstream_proxies))

    def reset_connections(self):
        self.random.choice(self.store_proxies + self.upstream_proxies
                           ).reset_all()

    def pause(self, process):
        process.send_signal(signal.SIGSTOP)
        return lambda: process.send_signal(signal.SIGCONT)

    def pause_router(self):
        return self.pause(self.random.choice(self.routers))

    def pause_upstream(self):
        return self.pause(self.random.choice(self.upstreams))

    def kill(self, process):
        process.send_signal(signal.SIGKILL)
        process.child.wait()
        return process.start

    def kill_router(self):
        return self.kill(self.random.choice(self.routers))

    def kill_upstream(self):
        return self.kill(self.random.choice(self.upstreams))

    def stop_router(self):
        router = self.random.choice(self.routers)
        router.send_signal(signal.SIGHUP)
        router.send_signal(signal.SIGTERM)

        def restart():
            self.check_exit_status(router, router.stop(), (-signal.SIGKILL,))
            router.start()
        return restart

    def check_exit_status(self, router, status, allowed=()):
        # A signal that arrives while the program is still being loaded ends
        # the process: no handler can be installed that early. The first log
        # line shows that the handlers are installed.
        ended_while_loading = (status in (-signal.SIGTERM, -signal.SIGHUP)
                               and not router.has_logged())
        if status not in (0, 1, *allowed) and not ended_while_loading:
            self.record_failure(f"a router exited with status {status}")

    def change_config(self):
        with self.lock:
            self.write_config()

    def revoke_key(self):
        with self.lock:
            if len(self.keys) < 2:
                return
            key = self.random.choice(list(self.keys))
            self.keys.pop(key)
            self.write_config()
            self.revocation_times[key] = time.time()

    def drain_upstream(self):
        # At least one engine never drains, so that streams can be served.
        index = self.random.randrange(ENGINES - 1)
        self.write_upstream(index, 1, "draining")

    def compact_store_history(self):
        """The store loses its history just after upstreams were removed."""
        if not self.idle_upstreams:
            self.store.compact_history()
            return
        self.idle_random.shuffle(self.idle_upstreams)
        for _ in range(self.idle_random.randint(1, IDLE_UPSTREAMS)):
            self.store.remove(self.idle_upstreams.pop())
        self.store.compact_history()
        self.write_idle_upstreams()

    def run(self):
        self.start()
        time.sleep(1.5)
        callers = [threading.Thread(target=self.run_caller, args=(number,),
                                    daemon=True) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        deadline = time.monotonic() + self.options.seconds
        active_faults = []
        while time.monotonic() < deadline:
            time.sleep(self.random.uniform(0.1, 0.8))
            if len(active_faults) < 3:
                end_fault = self.inject_fault()
                if end_fault:
                    active_faults.append((
                        time.monotonic() + self.random.uniform(0.2, 3),
                        end_fault))
            for fault in [fault for fault in active_faults
                          if fault[0] < time.monotonic()]:
                active_faults.remove(fault)
                fault[1]()
        for _, end_fault in active_faults:
            end_fault()
        # The fleet has 4 s to recover. Requests sent in the 2 s after that
        # should be served.
        time.sleep(4)
        self.recovery_deadline = time.time()
        time.sleep(2)
        self.check_directories()
        self.stopping.set()
        for caller in callers:
            caller.join(8)
        for router in self.routers:
            self.check_exit_status(router, router.stop())
        for upstream in self.upstreams:
            upstream.child.kill()
            upstream.child.wait()
        self.check_runs()

    def check_directories(self):
        """Compares the upstreams that routers know with those in the store."""
        _, page = self.store.get("/api/kv-range", {"prefix": "servers/"})
        for port in self.status_ports:
            connection = http.client.HTTPConnection("127.0.0.1", port,
                                                    timeout=6)
            try:
                connection.request("GET", "/metrics")
                lines = connection.getresponse().read().decode().splitlines()
            finally:
                connection.close()
            known = next(float(line.split()[1]) for line in lines
                         if line.startswith("baobab_upstreams "))
            if known != len(page["entries"]):
                self.record_failure(
                    f"a router knows {known:.0f} upstreams, the store "
                    f"{len(page['entries'])}")

    def check_runs(self):
        """Compares the recorded runs with the responses that callers received.
        """
        runs = {}
        with open(f"{self.work_dir}/runs", encoding="utf-8") as file:
            for line in file:
                _, request_id, customer, _ = line.split()
                runs.setdefault(request_id, []).append(customer)
        served = 0
        expected = 0
        for request_id, kind, key, status, sent_at in self.requests:
            executions = runs.get(request_id, [])
            if kind == "unsafe" and len(executions) > 1:
                self.record_failure(
                    f"{request_id}: ran {len(executions)} times")
            if kind == "unsafe" and status in NOT_RUN_STATUSES and executions:
                self.record_failure(
                    f"{request_id}: ran, but the response was {status}")
            revoked_at = self.revocation_times.get(key)
            if (revoked_at and sent_at > revoked_at + REVOCATION_BOUND_S
                    and executions):
                self.record_failure(
                    f"{request_id}: sent {sent_at - revoked_at:.2f} s after "
                    "its key was revoked, and ran")
            if sent_at > self.recovery_deadline and not revoked_at:
                expected += 1
                served += status == 200
        print(f"seed {self.options.seed}: {len(self.requests)} requests, "
              f"{sum(map(len, runs.values()))} runs, {served} of {expected} "
              "served after the last fault")
        if expected and served < 0.8 * expected:
            self.record_failure(
                f"only {served} of {expected} served after the faults")

    def close(self):
        for process in self.routers + self.upstreams:
            if process.child.poll() is None:
                process.child.kill()
        if self.options.keep or self.failures:
            print(f"logs: {self.work_dir}")
        else:
            shutil.rmtree(self.work_dir)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--build", default=os.environ.get(
        "BAOBAB_BUILD", f"{HERE}/../../build/release"))
    parser.add_argument("--keep", action="store_true",
                        help="keep the logs also if the run succeeds")
    soak = Soak(parser.parse_args())
    try:
        soak.run()
    finally:
        soak.close()
    for message in soak.failures[:20]:
        print(f"BROKEN {message}")
    return 1 if soak.failures else 0


if __name__ == "__main__":
    sys.exit(main())
