"""Cost of the router against the stand-in asked directly, in one run."""

import json
import os
import subprocess
import sys
import tempfile
import time

import fleet as fleets

REQUESTS = 6000
STREAMS = 1000


def load(url, concurrency, requests, body=""):
    binary = os.path.join(
        fleets.BUILD, "tools", "standins", "baobab-standin")
    done = subprocess.run(
        [binary, "load", "--url", url, "--concurrency", str(concurrency),
         "--requests", str(requests), "--body", body],
        capture_output=True, text=True, timeout=180, check=True)
    return json.loads(done.stdout)


def cpu_seconds(pid):
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_kb(pid):
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        for line in file:
            if line.startswith("VmRSS"):
                return int(line.split()[1])
    return 0


def main():
    good = True

    def show(name, value, unit, bound=None):
        nonlocal good
        passes = bound is None or value <= bound
        good = good and passes
        limit = "-" if bound is None else f"{bound:g}"
        print(f"overhead.{name}\t{value:.6g}\t{unit}\t{limit}\t"
              f"{'pass' if passes else 'fail'}")

    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(folder, routers=1, engines=3, services=1,
                             engine_args=("--token-ms", "200",
                                          "--capacity", "2000"))
        try:
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
            direct_url = f"http://127.0.0.1:{fleet.service_ports[0]}/rows"
            routed_url = fleet.router_url(0) + "/services/pass-app/rows"
            pid = fleet.processes["router-0"].pid
            idle = memory_kb(pid)
            load(routed_url, 1, 500)
            direct = load(direct_url, 1, REQUESTS)
            routed = load(routed_url, 1, REQUESTS)
            show("added_median", (routed["median_us"] - direct["median_us"])
                 / 1000, "ms", 0.3)
            show("added_p99", (routed["p99_us"] - direct["p99_us"]) / 1000,
                 "ms")
            before = cpu_seconds(pid)
            direct = load(direct_url, 32, REQUESTS)
            routed = load(routed_url, 32, 5 * REQUESTS)
            cpu = cpu_seconds(pid) - before
            show("rate_of_direct",
                 routed["per_second"] / direct["per_second"], "ratio")
            show("rate", routed["per_second"], "1/s")
            show("cpu_per_request", cpu / (5 * REQUESTS) * 1e6, "us", 200)
            show("failed", routed["failed"], "requests", 0)
            body = json.dumps({"model": "frugt-lm", "stream": True,
                               "max_tokens": 40, "messages": []})
            streams = subprocess.Popen(
                [os.path.join(fleets.BUILD, "tools", "standins",
                              "baobab-standin"),
                 "load", "--url", fleet.router_url(0)
                 + "/v1/chat/completions", "--concurrency", str(STREAMS),
                 "--requests", str(STREAMS), "--body", body],
                stdout=subprocess.PIPE, text=True)
            time.sleep(5)
            open_kb = memory_kb(pid)
            answers = json.loads(streams.communicate(timeout=120)[0])
            show("memory_idle", idle / 1000, "MB", 64)
            show("memory_per_stream", (open_kb - idle) / STREAMS, "kB", 40)
            show("streams_failed", answers["failed"], "streams", 0)
        finally:
            fleet.stop()
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
