"""Randomized soak: real routers as processes, with faults from outside them.

Routers, upstreams and the store talk through loopback proxies that delay,
reset, silence or cut connections one way; processes are paused, killed,
stopped and started by signals; the configuration changes, keys are taken away
and upstreams drain meanwhile. What callers and upstreams saw is checked.

usage: soak.py [--seed N] [--seconds S] [--build DIR] [--keep]

Exit status 0 if every promise held, 1 if one was broken."""
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
PLAIN = 2
CALLERS = 8
EVENTS = 12
REVOCATION_S = 5.0
DRAIN_S = 2.0
#: Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)


class Proxy:
    """Forwards connections to `target` and harms them on demand."""

    def __init__(self, port, target):
        self.mode = "pass"
        self._target = target
        self._pairs = set()
        self._lock = threading.Lock()
        self._listener = socket.create_server(("127.0.0.1", port), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def reset_all(self):
        with self._lock:
            pairs = list(self._pairs)
        for pair in pairs:
            for item in pair:
                try:
                    item.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                    b"\x01\0\0\0\0\0\0\0")
                    item.shutdown(socket.SHUT_RDWR)
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
                    ("127.0.0.1", self._target), timeout=2)
            except OSError:
                caller.close()
                continue
            pair = (caller, upstream)
            with self._lock:
                self._pairs.add(pair)
            threading.Thread(target=self._forward, args=(pair,),
                             daemon=True).start()

    def _forward(self, pair):
        caller, upstream = pair
        for item in pair:
            item.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        silenced = False
        try:
            while True:
                ready, _, _ = select.select(pair, [], [], 0.2)
                for item in ready:
                    data = item.recv(65536)
                    if not data:
                        return
                    mode = self.mode
                    # Once bytes were swallowed, the connection stays silent.
                    silenced = silenced or mode == "silent" or (
                        mode == "one_way" and item is upstream)
                    if silenced:
                        continue
                    if mode == "slow":
                        time.sleep(0.15)
                    (upstream if item is caller else caller).sendall(data)
        except OSError:
            pass  # either end closed
        finally:
            for item in pair:
                item.close()
            with self._lock:
                self._pairs.discard(pair)


class Process:
    """A process that the soak started, and ends by its id."""

    def __init__(self, command, log):
        self._command = command
        self._log = log
        self.child = None
        self.start()

    def start(self):
        # Faults overlap: another one's end may have started it again.
        if self.child is not None and self.child.poll() is None:
            return
        with open(self._log, "ab") as log:
            self._log_start = log.tell()
            self.child = subprocess.Popen(self._command, stdout=log,
                                          stderr=log)

    def has_written(self):
        """Tells whether this lifetime has written anything."""
        return os.path.getsize(self._log) > self._log_start

    def signal(self, number):
        if self.child.poll() is None:
            self.child.send_signal(number)

    def end(self, timeout=9):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            self.child.kill()
            return self.child.wait()


class Soak:
    def __init__(self, options):
        self.random = random.Random(options.seed)
        self.options = options
        self.folder = tempfile.mkdtemp(prefix="baobab-soak-")
        self.store = store_standin.Store()
        self.version = 0
        self.keys = {f"key-{index}": f"c{index}" for index in range(4)}
        self.revoked = {}
        self.drained = {}
        self.results = []
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.healthy_from = None
        self.failures = []

    def start(self):
        store_port, *ports = free_ports(
            1 + ROUTERS * 4 + (ENGINES + PLAIN) * 2)
        store_standin.serve(self.store, store_port)
        self.store_proxies = []
        self.routers = []
        self.router_ports = []
        self.upstreams = []
        self.upstream_proxies = []
        self.write_config()
        for index in range(ENGINES + PLAIN):
            real, shown, *ports = ports
            self.upstream_proxies.append(Proxy(shown, real))
            upstream_id = f"i-{index}"
            self.upstreams.append(Process(
                [sys.executable, f"{HERE}/upstream_standin.py", str(real),
                 upstream_id, f"{self.folder}/runs",
                 str(self.options.seed * 100 + index)],
                f"{self.folder}/upstream-{index}.log"))
            self.write_upstream(index, shown)
        for index in range(ROUTERS):
            listen, ready, control, shown, *ports = ports
            self.store_proxies.append(Proxy(shown, store_port))
            path = f"{self.folder}/router-{index}.settings"
            with open(path, "w", encoding="utf-8") as file:
                file.write(
                    "[baobabd]\n"
                    f"router-name=r{index}\ndata-centre=a\n"
                    f"listen=127.0.0.1:{listen}\n"
                    f"ready-listen=127.0.0.1:{ready}\n"
                    f"control-listen=127.0.0.1:{control}\n"
                    f"directory=127.0.0.1:{shown}\nshutdown-timeout=8\n")
            self.router_ports.append(listen)
            self.routers.append(Process(
                [f"{self.options.build}/tools/baobabd/baobabd",
                 "--settings-file", path],
                f"{self.folder}/router-{index}.log"))
        threading.Thread(target=self.keep_leases, daemon=True).start()

    def keep_leases(self):
        while not self.stopping.is_set():
            self.store.expire_leases()
            time.sleep(0.2)

    def write_config(self):
        self.version += self.random.randint(1, 3)
        route = {"hostname": "soak.example", "goalMs": 300, "priority": 1,
                 "attempts": 2, "public": False}
        customers = {}
        for key, name in self.keys.items():
            customers.setdefault(name, []).append(key)
        self.store.write("op/config", json.dumps({
            "version": self.version,
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

    # Callers

    def call_forever(self, number):
        own = random.Random(self.options.seed * 1000 + number)
        channel = None
        while not self.stopping.is_set():
            kind = own.choice(["safe", "unsafe", "unsafe", "stream"])
            with self.lock:
                key = own.choice(list(self.keys) + list(self.revoked))
            request_id = f"{number}-{own.getrandbits(48):x}"
            try:
                if channel is None:
                    port = own.choice(self.router_ports)
                    channel = http.client.HTTPConnection("127.0.0.1", port,
                                                         timeout=6)
                keep = self.call_once(channel, kind, key, request_id)
            except (OSError, http.client.HTTPException):
                self.note(request_id, kind, key, None)
                keep = False
            if not keep or own.random() < 0.1:
                channel.close()
                channel = None
            time.sleep(own.uniform(0, 0.04))

    def call_once(self, channel, kind, key, request_id):
        method = "POST" if kind != "safe" else "GET"
        sent = time.time()
        headers = {"Host": "soak.example", "Api-Key": key,
                   "X-Request-Id": request_id, "X-Deadline-Ms": "4000"}
        if kind == "stream":
            headers["X-Prompt-Prefix"] = "a:100,b:50,c:10"
        body = b"x" * 200 if method == "POST" else None
        channel.request(method, f"/{kind}/1", body, headers)
        answer = channel.getresponse()
        content = answer.read()
        self.note(request_id, kind, key, answer.status, sent=sent)
        if answer.status == 200:
            self.check_success(request_id, kind, answer, content)
        return answer.getheader("Connection", "") != "close"

    def check_success(self, request_id, kind, answer, content):
        stamp = answer.getheader("X-Server-Stamp") or ""
        if not stamp.endswith("." + request_id):
            self.broken(f"{request_id}: 200 with stamp '{stamp}'")
        if kind != "stream":
            if content.decode() != f"answer to {request_id}":
                self.broken(f"{request_id}: wrong body")
            return
        wanted = "".join(f"id: {number}\ndata: {request_id}\n\n"
                         for number in range(1, EVENTS + 1))
        if content.decode() != wanted:
            self.broken(f"{request_id}: events missing, doubled or joined")

    def note(self, request_id, kind, key, status, sent=None):
        with self.lock:
            self.results.append((request_id, kind, key, status,
                                 sent or time.time()))

    def broken(self, what):
        with self.lock:
            self.failures.append(what)

    # Faults

    def harm(self):
        """Begins one fault and returns the step that ends it."""
        return self.random.choice([
            self.cut_store, self.cut_upstream, self.pause_router,
            self.kill_router, self.stop_router, self.pause_upstream,
            self.kill_upstream, self.change_config, self.revoke_key,
            self.drain_upstream, self.reset_channels, self.forget])()

    def set_mode(self, proxy):
        proxy.mode = self.random.choice(["silent", "refuse", "slow",
                                         "one_way"])
        if proxy.mode == "refuse":
            proxy.reset_all()

        def heal():
            proxy.mode = "pass"
        return heal

    def cut_store(self):
        return self.set_mode(self.random.choice(self.store_proxies))

    def cut_upstream(self):
        return self.set_mode(self.random.choice(self.upstream_proxies))

    def reset_channels(self):
        self.random.choice(self.store_proxies + self.upstream_proxies
                           ).reset_all()

    def pause(self, process):
        process.signal(signal.SIGSTOP)
        return lambda: process.signal(signal.SIGCONT)

    def pause_router(self):
        return self.pause(self.random.choice(self.routers))

    def pause_upstream(self):
        return self.pause(self.random.choice(self.upstreams))

    def kill(self, process):
        process.signal(signal.SIGKILL)
        process.child.wait()
        return process.start

    def kill_router(self):
        return self.kill(self.random.choice(self.routers))

    def kill_upstream(self):
        return self.kill(self.random.choice(self.upstreams))

    def stop_router(self):
        router = self.random.choice(self.routers)
        router.signal(signal.SIGHUP)
        router.signal(signal.SIGTERM)

        def restart():
            self.check_end(router, router.end(), (-signal.SIGKILL,))
            router.start()
        return restart

    def check_end(self, router, status, allowed=()):
        # A signal that arrives while the program is still being loaded ends
        # it: no handler can stand before its first line of log.
        unloaded = (status in (-signal.SIGTERM, -signal.SIGHUP)
                    and not router.has_written())
        if status not in (0, 1, *allowed) and not unloaded:
            self.broken(f"a router ended with {status}")

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
            self.revoked[key] = time.time()

    def drain_upstream(self):
        # One engine always stays, so that streams can be served.
        index = self.random.randrange(ENGINES - 1)
        self.write_upstream(index, 1, "draining")

    def forget(self):
        self.store.forget_history()

    def run(self):
        self.start()
        time.sleep(1.5)
        callers = [threading.Thread(target=self.call_forever, args=(number,),
                                    daemon=True) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        end = time.monotonic() + self.options.seconds
        heals = []
        while time.monotonic() < end:
            time.sleep(self.random.uniform(0.1, 0.8))
            if len(heals) < 3:
                heal = self.harm()
                if heal:
                    heals.append((time.monotonic()
                                  + self.random.uniform(0.2, 3), heal))
            for item in [item for item in heals
                         if item[0] < time.monotonic()]:
                heals.remove(item)
                item[1]()
        for _, heal in heals:
            heal()
        time.sleep(4)
        self.healthy_from = time.time()
        time.sleep(2)
        self.stopping.set()
        for caller in callers:
            caller.join(8)
        for router in self.routers:
            self.check_end(router, router.end())
        for upstream in self.upstreams:
            upstream.child.kill()
            upstream.child.wait()
        self.check_runs()

    def check_runs(self):
        runs = {}
        with open(f"{self.folder}/runs", encoding="utf-8") as file:
            for line in file:
                _, request_id, customer, _ = line.split()
                runs.setdefault(request_id, []).append(customer)
        served = 0
        wanted = 0
        for request_id, kind, key, status, sent in self.results:
            ran = runs.get(request_id, [])
            if kind == "unsafe" and len(ran) > 1:
                self.broken(f"{request_id}: ran {len(ran)} times")
            if kind == "unsafe" and status in PROMISES and ran:
                self.broken(f"{request_id}: answered {status} and has run")
            taken = self.revoked.get(key)
            if taken and sent > taken + REVOCATION_S and ran:
                self.broken(f"{request_id}: ran {sent - taken:.2f} s after "
                            "its key was taken away")
            if sent > self.healthy_from and not taken:
                wanted += 1
                served += status == 200
        print(f"seed {self.options.seed}: {len(self.results)} requests, "
              f"{sum(map(len, runs.values()))} runs, {served} of {wanted} "
              "served after the last fault")
        if wanted and served < 0.8 * wanted:
            self.broken(f"only {served} of {wanted} served after the faults")

    def close(self):
        for process in self.routers + self.upstreams:
            if process.child.poll() is None:
                process.child.kill()
        if self.options.keep or self.failures:
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--build", default=os.environ.get(
        "BAOBAB_BUILD", f"{HERE}/../../build/release"))
    parser.add_argument("--keep", action="store_true",
                        help="keep the logs of a good run too")
    soak = Soak(parser.parse_args())
    try:
        soak.run()
    finally:
        soak.close()
    for what in soak.failures[:20]:
        print(f"BROKEN {what}")
    return 1 if soak.failures else 0


if __name__ == "__main__":
    sys.exit(main())
