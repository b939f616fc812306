"""Randomized soak test of promises: no request that may run once runs twice,
and none runs that was answered with a status that promises the contrary.

Routers serve booking upstreams that refuse, copy, cut, lose and delay responses
(booking_standin.py) to callers that retry after a promise
(booking_callers.py). Processes are suspended, killed, stopped and restarted,
and settings, configuration and upstreams change. The test joins the recorded
runs with the recorded attempts.

usage: promises.py [--seed N] [--seconds S] [--build DIR] [--keep]
                   [--routers N] [--callers N]

Exits with 0 if every guarantee held and with 1 if one was violated."""
import argparse
import collections
import glob
import json
import os
import re
import signal
import subprocess
import sys
import time

import soak
import store_standin
from soak import HERE, NOT_RUN_STATUSES, Process, Proxy

UPSTREAMS = 3
CALLER_PROCESSES = 2
MAX_REPORTED = 5


class PromisesSoak(soak.Soak):
    """One run: its processes, callers, faults and recorded results."""

    def start(self):
        draw = self.random.choice
        self.router_count = self.options.routers or draw(
            (3, 9, 9, 9, 14, 20, 30))
        self.caller_count = self.options.callers or draw((60, 120, 240, 400))
        self.per_second = draw((60, 200, 350))
        self.retry_ratio = draw((0.2, 1))
        self.faults_at_once = draw((1, 3, 5))
        self.busy_processes = draw((0, 0, 0, 2))
        self.timeout_ms = 600
        store_port, *ports = soak.free_ports(
            1 + self.router_count * 4 + UPSTREAMS)
        store_standin.serve(self.store, store_port)
        self.upstream_ports = [ports.pop() for _ in range(UPSTREAMS)]
        self.upstream_ids = [f"i-{index}" for index in range(UPSTREAMS)]
        self.upstreams = [self.make_upstream(index)
                          for index in range(UPSTREAMS)]
        self.upstream_proxies = []
        self.keys = {"key": "c"}
        self.write_config()
        for index in range(UPSTREAMS):
            self.write_upstream(index)
        self.store_proxies, self.routers, self.router_ports = [], [], []
        self.router_settings = []
        for index in range(self.router_count):
            listen, ready, control, proxy, *ports = ports
            self.store_proxies.append(Proxy(proxy, store_port))
            self.router_ports.append(listen)
            self.router_settings.append(
                f"[baobabd]\nrouter-name=r{index}\ndata-centre=a\n"
                f"listen=127.0.0.1:{listen}\nready-listen=127.0.0.1:{ready}\n"
                f"control-listen=127.0.0.1:{control}\n"
                f"directory=127.0.0.1:{proxy}\n")
            self.write_settings(index)
            self.routers.append(Process(
                [f"{self.options.build}/tools/baobabd/baobabd",
                 "--settings-file", self.settings_path(index)],
                f"{self.work_dir}/router-{index}.log"))
        soak.threading.Thread(target=self.expire_leases_periodically,
                              daemon=True).start()

    def settings_path(self, index):
        return f"{self.work_dir}/router-{index}.settings"

    def write_settings(self, index):
        with open(self.settings_path(index), "w", encoding="utf-8") as file:
            file.write(self.router_settings[index] +
                       f"retry-ratio={self.retry_ratio}\n"
                       f"retry-slack={self.random.choice((20, 58))}\n"
                       f"shutdown-timeout={self.random.choice((1, 3, 8))}\n")

    def make_upstream(self, index):
        return Process(
            [sys.executable, f"{HERE}/booking_standin.py",
             str(self.upstream_ports[index]), self.upstream_ids[index],
             f"{self.work_dir}/events",
             f"{self.options.seed}-{self.random.random()}"],
            f"{self.work_dir}/upstream-{index}.log")

    def write_upstream(self, index, phase="ready"):
        self.store.write(f"servers/{self.upstream_ids[index]}", json.dumps({
            "service": "desk", "zone": "a", "version": "v1", "slots": 6,
            "address": f"127.0.0.1:{self.upstream_ports[index]}",
            "phase": phase, "coldLeftMs": 0, "seq": self.config_version,
            "born": int(time.time() * 1000)}))

    def write_config(self):
        self.config_version += self.random.randint(1, 3)
        draw = self.random.choice
        route = {"hostname": "soak.example", "goalMs": 200, "priority": 1,
                 "timeoutMs": self.timeout_ms, "service": "desk",
                 "public": draw((True, True, False))}
        self.store.write("op/config", json.dumps({
            "version": self.config_version,
            "routes": [
                {**route, "name": "s", "prefix": "/safe/", "routeKind": "safe",
                 "attempts": 2},
                {**route, "name": "u", "prefix": "/unsafe/",
                 "routeKind": "unsafe", "attempts": draw((1, 2, 3))},
                {**route, "name": "e", "prefix": "/stream/", "attempts": 1,
                 "routeKind": "streaming", "gapAimMs": 300}],
            "services": [{"name": "desk", "healthPath": "/healthz",
                          "maxConns": draw((30, 100, 400)), "coldStartS": 0,
                          "coldPerS": 0}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576,
                       "headerTimeoutMs": draw((300, 1000, 3000)),
                       "idleTimeoutMs": draw((1000, 3000, 15000))},
            "tenants": [{"name": name, "apiKeys": [key]}
                        for key, name in self.keys.items()]}))

    # Faults.

    def inject_fault(self):
        return self.random.choice([
            self.cut_store, self.pause_router, self.pause_router,
            self.kill_router, self.kill_router, self.stop_router,
            self.stop_router, self.reload_settings, self.pause_upstream,
            self.kill_upstream, self.replace_upstream, self.change_config,
            self.rename_key, self.drain_upstream, self.reset_connections,
            self.compact_store_history])()

    def reload_settings(self):
        index = self.random.randrange(self.router_count)
        self.write_settings(index)
        self.routers[index].send_signal(signal.SIGHUP)

    def change_config(self):
        self.timeout_ms = self.random.choice((300, 600, 600, 1200))
        self.write_config()

    def rename_key(self):
        """Takes the only key away until the fault ends."""
        self.keys = {"other": "c"}
        self.write_config()

        def end_fault():
            self.keys = {"key": "c"}
            self.write_config()
        return end_fault

    def drain_upstream(self):
        index = self.random.randrange(UPSTREAMS)
        self.write_upstream(index, "draining")
        return lambda: self.write_upstream(index)

    def replace_upstream(self):
        """Starts another upstream at the same address, often with another id.

        The store names it only once the fault ends.
        """
        index = self.random.randrange(UPSTREAMS)
        self.upstreams[index].send_signal(signal.SIGKILL)
        self.upstreams[index].child.wait()
        old_id = self.upstream_ids[index]
        if self.random.random() < 0.7:
            self.upstream_ids[index] = f"i-{self.random.getrandbits(30):x}"
        self.upstreams[index] = self.make_upstream(index)

        def end_fault():
            if old_id != self.upstream_ids[index]:
                self.store.remove(f"servers/{old_id}")
            self.write_upstream(index)
        return end_fault

    def kill_upstream(self):
        index = self.random.randrange(UPSTREAMS)
        self.upstreams[index].send_signal(signal.SIGKILL)
        self.upstreams[index].child.wait()
        # It may have been replaced by then.
        return lambda: self.upstreams[index].start()

    def run(self):
        self.start()
        time.sleep(1.5 + self.router_count / 10)
        callers = [Process(
            [sys.executable, f"{HERE}/booking_callers.py",
             f"{self.work_dir}/attempts-{number}",
             f"{self.options.seed}.{number}",
             str(self.caller_count // CALLER_PROCESSES),
             str(self.per_second // CALLER_PROCESSES),
             *map(str, self.router_ports)],
            f"{self.work_dir}/callers-{number}.log")
            for number in range(CALLER_PROCESSES)]
        self.others = callers + [
            Process([sys.executable, "-c", "while True: pass"], os.devnull)
            for _ in range(self.busy_processes)]
        self.inject_faults()
        time.sleep(1)
        for process in callers:
            if process.stop() != 0:
                self.record_failure("a process of callers failed")
        for router in self.routers:
            router.send_signal(signal.SIGCONT)
            router.send_signal(signal.SIGTERM)
        for router in self.routers:
            self.check_exit_status(router, router.stop())
        # An upstream may still begin to run what its queue holds.
        time.sleep(0.5)
        for upstream in self.upstreams:
            upstream.stop()
        self.check_runs()

    def inject_faults(self):
        deadline = time.monotonic() + self.options.seconds
        active_faults = []
        while time.monotonic() < deadline:
            time.sleep(self.random.uniform(0.05, 0.5))
            if len(active_faults) < self.faults_at_once:
                end_fault = self.inject_fault()
                if end_fault:
                    # Some pauses are shorter than a connection attempt, and
                    # some longer than a request.
                    active_faults.append((
                        time.monotonic() + self.random.choice(
                            (0.05, 0.15, 0.3, 1, 2.5)), end_fault))
            for fault in [fault for fault in active_faults
                          if fault[0] < time.monotonic()]:
                active_faults.remove(fault)
                fault[1]()
        for _, end_fault in active_faults:
            end_fault()

    # Results.

    def read_results(self):
        self.attempts = {}
        for path in glob.glob(f"{self.work_dir}/attempts-*"):
            with open(path, encoding="utf-8") as file:
                for line in file:
                    attempt = json.loads(line)
                    self.attempts[attempt["id"]] = attempt
        self.events = collections.defaultdict(list)
        with open(f"{self.work_dir}/events", encoding="utf-8") as file:
            for line in file:
                self.events[line.split()[3]].append(line.strip())
        self.runs = {
            request_id: [line for line in lines if " ran:" in line]
            for request_id, lines in self.events.items()}

    def check_runs(self):
        """Joins the recorded runs with the attempts of callers."""
        self.read_results()
        runs_of_jobs = collections.Counter()
        counts = collections.Counter()
        for request_id, attempt in self.attempts.items():
            runs = len(self.runs.get(request_id, []))
            status, ended = attempt["status"], attempt["ended"]
            counts[status or ended] += 1
            if runs and status is None:
                counts[f"{ended}, ran"] += 1
            if attempt["unsuited"]:
                self.report(request_id, "the response belongs to another")
            if attempt["kind"] == "safe":
                continue
            runs_of_jobs[attempt["job"]] += runs > 0
            if runs and status in NOT_RUN_STATUSES:
                self.report(request_id, f"ran, but the response was {status}")
            if runs and ended == "reset":
                self.report(request_id, "ran, but was reset as if unread")
        for request_id, runs in self.runs.items():
            if len(runs) > 1 and not runs[0].endswith(":safe"):
                self.report(request_id, f"ran {len(runs)} times")
        for job, runs in runs_of_jobs.items():
            if runs > 1:
                self.record_failure(f"job {job}: ran as {runs} requests")
        bookings = sum(attempt["kind"] != "safe"
                       for attempt in self.attempts.values())
        print(f"seed {self.options.seed}: {self.router_count} routers, "
              f"{self.caller_count} callers, {len(self.attempts)} attempts, "
              f"{bookings} of them not repeatable; "
              + ", ".join(f"{name}: {count}" for name, count in
                          sorted(counts.items(), key=str)))

    def report(self, request_id, message):
        self.record_failure(f"{request_id}: {message}")
        if len(self.failures) > MAX_REPORTED:
            return
        job = self.attempts.get(request_id, {}).get("job")
        print("\n".join([
            f"--- {request_id}: {message}", *self.events[request_id],
            *(json.dumps(attempt) for attempt in self.attempts.values()
              if attempt["job"] == job)]))
        pattern = re.compile(rf"(?<![\w.-]){re.escape(request_id)}(?![\w.-])")
        for path in glob.glob(f"{self.work_dir}/router-*.log"):
            with open(path, encoding="utf-8", errors="replace") as file:
                for line in file:
                    if pattern.search(line):
                        print(os.path.basename(path), line.strip())

    def close(self):
        self.others = getattr(self, "others", [])
        self.upstreams += self.others
        super().close()


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--build", default=os.environ.get(
        "BAOBAB_BUILD", f"{HERE}/../../build/release"))
    parser.add_argument("--keep", action="store_true",
                        help="keep the logs also if the run succeeds")
    parser.add_argument("--routers", type=int)
    parser.add_argument("--callers", type=int)
    run = PromisesSoak(parser.parse_args())
    try:
        run.run()
    finally:
        run.close()
    for message in run.failures[:20]:
        print(f"BROKEN {message}")
    return 1 if run.failures else 0


if __name__ == "__main__":
    sys.exit(main())
