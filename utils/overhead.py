"""Cost of the router against the stand-in asked directly, in one run.

With --baseline BINARY the same is measured of an earlier baobabd, after the
present one; its figures have no bounds.
"""

import argparse
import json
import os
import re
import socket
import subprocess
import sys
import tempfile
import time

import fleet as fleets

REQUESTS = 6000
STREAMS = 1000
IDLE_CHANNELS = 1000
# Mapped files with less private memory than this are not listed, kB.
LEAST_LISTED_KB = 100


def standin_load(url, concurrency, requests, body=""):
    binary = os.path.join(
        fleets.BUILD, "tools", "standins", "baobab-standin")
    return [binary, "load", "--url", url, "--concurrency", str(concurrency),
            "--requests", str(requests), "--body", body]


def load(*arguments):
    done = subprocess.run(standin_load(*arguments), capture_output=True,
                          text=True, timeout=180, check=True)
    return json.loads(done.stdout)


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def private_memory(pid):
    """Returns private memory by mapped file, kB; "" is heap and stacks."""
    by_file = {}
    name = ""
    with open(f"/proc/{pid}/smaps", encoding="utf-8") as file:
        for line in file:
            fields = line.split()
            if re.match(r"^[0-9a-f]+-[0-9a-f]+$", fields[0]):
                path = fields[5] if len(fields) > 5 else ""
                name = os.path.basename(path) if path.startswith("/") else ""
            elif fields[0] in ("Private_Dirty:", "Private_Clean:"):
                by_file[name] = by_file.get(name, 0) + int(fields[1])
    return by_file


def private_kb(pid):
    return sum(private_memory(pid).values())


def resident_kb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    return 0


def requests_in_progress(url):
    text = fleets.call(url + "/metrics")[2]
    if isinstance(text, bytes):
        text = text.decode()
    found = re.search(r"^baobab_requests_in_progress (\S+)", text, re.M)
    return float(found.group(1)) if found else 0


def start_fleet(fleet):
    def widen(preset):
        for service in preset["services"]:
            service["capacity"] = 2000
            service["load_floor"] = 2000
            service["queue_limit"] = 4000
    fleet.start("--workers", "1")
    fleet.wait_listening(fleet.kv_port)
    fleet.ctl("preset", "activate", fleet.preset(change=widen))
    fleet.wait_ready()
    fleets.call(f"http://127.0.0.1:{fleet.service_ports[0]}"
                "/standin/faults", "POST", {"work_ms": 0})


def measure_requests(fleet, pid, show):
    direct_url = f"http://127.0.0.1:{fleet.service_ports[0]}/rows"
    routed_url = fleet.router_url(0) + "/services/pass-app/rows"
    load(routed_url, 1, 500)
    direct = load(direct_url, 1, REQUESTS)
    routed = load(routed_url, 1, REQUESTS)
    show("added_median", (routed["median_us"] - direct["median_us"]) / 1000,
         "ms", 0.3)
    show("added_p99", (routed["p99_us"] - direct["p99_us"]) / 1000, "ms")
    before = cpu_seconds(pid)
    direct = load(direct_url, 32, REQUESTS)
    routed = load(routed_url, 32, 5 * REQUESTS)
    cpu = cpu_seconds(pid) - before
    show("rate_of_direct", routed["per_second"] / direct["per_second"],
         "ratio")
    show("rate", routed["per_second"], "1/s")
    show("cpu_per_request", cpu / (5 * REQUESTS) * 1e6, "us", 200)
    show("failed", routed["failed"], "requests", 0)


def measure_idle_channels(fleet, pid, show):
    before = private_kb(pid)
    port = fleet.http_ports[0]
    channels = []
    for _ in range(IDLE_CHANNELS):
        channel = socket.create_connection(("127.0.0.1", port))
        channel.sendall(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
        channel.recv(4096)
        channels.append(channel)
    show("memory_per_idle_channel", (private_kb(pid) - before) / IDLE_CHANNELS,
         "kB")
    for channel in channels:
        channel.close()


def measure_streams(fleet, pid, show):
    before = private_kb(pid)
    body = json.dumps({"model": "frugt-lm", "stream": True,
                       "max_tokens": 40, "messages": []})
    streams = subprocess.Popen(
        standin_load(fleet.router_url(0) + "/v1/chat/completions",
                     STREAMS, STREAMS, body),
        stdout=subprocess.PIPE, text=True)
    # The client takes seconds to open so many; the fullest sample counts.
    most_open, during = 0, before
    while streams.poll() is None:
        time.sleep(0.5)
        count = requests_in_progress(fleet.router_url(0))
        if count > most_open:
            most_open, during = count, private_kb(pid)
    show("streams_open", most_open, "streams")
    answers = json.loads(streams.communicate(timeout=120)[0])
    show("memory_per_stream", (during - before) / max(most_open, 1), "kB",
         40)
    show("streams_failed", answers["failed"], "streams", 0)


def measure(baobabd, show):
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(folder, routers=1, engines=3, services=1,
                             engine_args=("--token-ms", "200",
                                          "--capacity", "2000"),
                             baobabd=baobabd)
        try:
            start_fleet(fleet)
            pid = fleet.processes["router-0"].pid
            show("memory_idle", resident_kb(pid) / 1000, "MB", 64)
            at_start = private_memory(pid)
            show("memory_private", sum(at_start.values()) / 1000, "MB")
            for name, size in sorted(at_start.items(),
                                     key=lambda item: -item[1]):
                if size >= LEAST_LISTED_KB:
                    show(f"memory_of.{name or 'heap'}", size, "kB")
            measure_idle_channels(fleet, pid, show)
            measure_streams(fleet, pid, show)
            measure_requests(fleet, pid, show)
        finally:
            fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--baseline", help="path of an earlier baobabd")
    options = parser.parse_args()
    failed = []

    def print_figure(name, value, unit, bound=None):
        passes = bound is None or value <= bound
        limit = "-" if bound is None else f"{bound:g}"
        print(f"{name}\t{value:.6g}\t{unit}\t{limit}\t"
              f"{'pass' if passes else 'fail'}", flush=True)
        if not passes:
            failed.append(name)

    def show(name, value, unit, bound=None):
        print_figure("overhead." + name, value, unit, bound)

    def show_baseline(name, value, unit, _bound=None):
        print_figure("baseline." + name, value, unit)

    measure(None, show)
    if options.baseline:
        measure(options.baseline, show_baseline)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
