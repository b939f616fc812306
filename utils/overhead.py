"""Measures the overhead of the router over direct requests to a stand-in.

With --baseline BINARY an earlier baobabd is measured in the same way after the
current one. Its figures have no bounds.
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

import fleet as fleet_lib

REQUESTS = 6000
STREAMS = 1000
IDLE_CONNECTIONS = 1000
# Mapped files with less private memory than this are not listed.
MIN_LISTED_KB = 100


def load_command(url, concurrency, requests, body=""):
    binary = os.path.join(
        fleet_lib.BUILD, "tools", "standins", "baobab-standin")
    return [binary, "load", "--url", url, "--concurrency", str(concurrency),
            "--requests", str(requests), "--body", body]


def run_load(*arguments):
    result = subprocess.run(load_command(*arguments), capture_output=True,
                            text=True, timeout=180, check=True)
    return json.loads(result.stdout)


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def private_memory(pid):
    """Returns private memory in kB by mapped file; "" is heap and stacks."""
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
    text = fleet_lib.send_request(url + "/metrics")[2]
    if isinstance(text, bytes):
        text = text.decode()
    match = re.search(r"^baobab_requests_in_progress (\S+)", text, re.M)
    return float(match.group(1)) if match else 0


def start_fleet(fleet):
    def raise_limits(preset):
        for service in preset["services"]:
            service["capacity"] = 2000
            service["load_floor"] = 2000
            service["queue_limit"] = 4000
    fleet.start("--workers", "1")
    fleet.wait_listening(fleet.kv_port)
    fleet.baobabctl("preset", "activate",
                    fleet.write_preset(modify=raise_limits))
    fleet.wait_ready()
    fleet_lib.send_request(f"http://127.0.0.1:{fleet.service_ports[0]}"
                           "/standin/faults", "POST", {"work_ms": 0})


def measure_requests(fleet, pid, report):
    direct_url = f"http://127.0.0.1:{fleet.service_ports[0]}/rows"
    routed_url = fleet.router_url(0) + "/services/pass-app/rows"
    run_load(routed_url, 1, 500)
    direct = run_load(direct_url, 1, REQUESTS)
    routed = run_load(routed_url, 1, REQUESTS)
    report("added_median", (routed["median_us"] - direct["median_us"]) / 1000,
           "ms", 0.3)
    report("added_p99", (routed["p99_us"] - direct["p99_us"]) / 1000, "ms")
    cpu_before = cpu_seconds(pid)
    direct = run_load(direct_url, 32, REQUESTS)
    routed = run_load(routed_url, 32, 5 * REQUESTS)
    cpu_used = cpu_seconds(pid) - cpu_before
    report("rate_of_direct", routed["per_second"] / direct["per_second"],
           "ratio")
    report("rate", routed["per_second"], "1/s")
    report("cpu_per_request", cpu_used / (5 * REQUESTS) * 1e6, "us", 200)
    report("failed", routed["failed"], "requests", 0)


def measure_idle_connections(fleet, pid, report):
    memory_before = private_kb(pid)
    port = fleet.http_ports[0]
    connections = []
    for _ in range(IDLE_CONNECTIONS):
        connection = socket.create_connection(("127.0.0.1", port))
        connection.sendall(b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n")
        connection.recv(4096)
        connections.append(connection)
    report("memory_per_idle_channel",
           (private_kb(pid) - memory_before) / IDLE_CONNECTIONS, "kB")
    for connection in connections:
        connection.close()


def measure_streams(fleet, pid, report):
    memory_before = private_kb(pid)
    body = json.dumps({"model": "frugt-lm", "stream": True,
                       "max_tokens": 40, "messages": []})
    load_process = subprocess.Popen(
        load_command(fleet.router_url(0) + "/v1/chat/completions",
                     STREAMS, STREAMS, body),
        stdout=subprocess.PIPE, text=True)
    # The client takes seconds to open all streams, so the sample with the most
    # open streams is used.
    max_open, memory_at_max = 0, memory_before
    while load_process.poll() is None:
        time.sleep(0.5)
        in_progress = requests_in_progress(fleet.router_url(0))
        if in_progress > max_open:
            max_open, memory_at_max = in_progress, private_kb(pid)
    report("streams_open", max_open, "streams")
    summary = json.loads(load_process.communicate(timeout=120)[0])
    report("memory_per_stream",
           (memory_at_max - memory_before) / max(max_open, 1), "kB", 40)
    report("streams_failed", summary["failed"], "streams", 0)


def measure(baobabd_path, report):
    with tempfile.TemporaryDirectory() as work_dir:
        fleet = fleet_lib.Fleet(work_dir, routers=1, engines=3, services=1,
                                engine_args=("--token-ms", "200",
                                             "--capacity", "2000"),
                                baobabd_path=baobabd_path)
        try:
            start_fleet(fleet)
            pid = fleet.processes["router-0"].pid
            report("memory_idle", resident_kb(pid) / 1000, "MB", 64)
            idle_memory_by_file = private_memory(pid)
            report("memory_private",
                   sum(idle_memory_by_file.values()) / 1000, "MB")
            for name, size in sorted(idle_memory_by_file.items(),
                                     key=lambda item: -item[1]):
                if size >= MIN_LISTED_KB:
                    report(f"memory_of.{name or 'heap'}", size, "kB")
            measure_idle_connections(fleet, pid, report)
            measure_streams(fleet, pid, report)
            measure_requests(fleet, pid, report)
        finally:
            fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--baseline", help="path of an earlier baobabd")
    options = parser.parse_args()
    failed_figures = []

    def print_figure(name, value, unit, bound=None):
        passes = bound is None or value <= bound
        limit = "-" if bound is None else f"{bound:g}"
        print(f"{name}\t{value:.6g}\t{unit}\t{limit}\t"
              f"{'pass' if passes else 'fail'}", flush=True)
        if not passes:
            failed_figures.append(name)

    def report(name, value, unit, bound=None):
        print_figure("overhead." + name, value, unit, bound)

    def report_baseline(name, value, unit, _bound=None):
        print_figure("baseline." + name, value, unit)

    measure(None, report)
    if options.baseline:
        measure(options.baseline, report_baseline)
    return 1 if failed_figures else 0


if __name__ == "__main__":
    sys.exit(main())
