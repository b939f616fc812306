"""Starts and stops a small fleet and its stand-ins on loopback.

Used by the demonstration, the overhead measurement, the soak and the
end-to-end tests.
"""

import json
import os
import random
import signal
import socket
import subprocess
import time
import urllib.error
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("BAOBAB_BUILD", os.path.join(ROOT, "build", "release"))
DATA_CENTRES = ["fyn-a", "fyn-b", "fyn-c"]
SECRET = "a-secret-for-demonstration-only"


#: Sockets whose names in the kernel show which ports are reserved.
port_reservations = []


def free_ports(count):
    """Returns TCP port numbers that are free on 127.0.0.1.

    They lie below the range from which the kernel takes the ports of outgoing
    connections, one of which could otherwise take a port before it is used.
    No other call, also in other processes, returns them before this process
    ends.
    """
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(10_000, 32_000)
        reservation = socket.socket(socket.AF_UNIX)
        with socket.socket() as probe:
            try:
                reservation.bind(f"\0baobab-port-{port}")
                probe.bind(("127.0.0.1", port))
            except OSError:
                reservation.close()
                continue
        port_reservations.append(reservation)
        ports.append(port)
    return ports


def send_request(url, method="GET", body=None, headers=None, timeout=10):
    """Sends a request and returns (status, headers, text).

    Returns error statuses like any other status, instead of raising.
    """
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return (response.status, dict(response.headers),
                    response.read().decode())
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()


def new_idempotency_key(now_ms=None):
    """Returns a new UUIDv7 with the given or the current time."""
    now_ms = int(time.time() * 1000) if now_ms is None else now_ms
    random_bits = int.from_bytes(os.urandom(10), "big")
    value = (now_ms << 80) | random_bits
    # Version 7, then variant 2.
    value = value & ~(0xF << 76) | (0x7 << 76)
    value = value & ~(0x3 << 62) | (0x2 << 62)
    text = f"{value:032x}"
    return "-".join(
        [text[:8], text[8:12], text[12:16], text[16:20], text[20:]]
    )


class Fleet:
    """Routers and stand-ins as child processes of this one."""

    def __init__(self, work_dir, routers=3, engines=9, services=3,
                 engine_args=(), baobabd_path=None):
        self.work_dir = work_dir
        self.baobabd_path = baobabd_path or os.path.join(
            BUILD, "tools", "baobabd", "baobabd")
        self.engine_args = list(engine_args)
        self.processes = {}
        self.commands = {}
        os.makedirs(work_dir, exist_ok=True)
        ports = free_ports(2 + 2 * routers + engines + services)
        self.kv_port, self.hosts_port = ports[:2]
        self.http_ports = ports[2:2 + routers]
        self.control_ports = ports[2 + routers:2 + 2 * routers]
        remaining_ports = ports[2 + 2 * routers:]
        self.engine_ports = remaining_ports[:engines]
        self.service_ports = remaining_ports[engines:]
        self.kv_url = f"http://127.0.0.1:{self.kv_port}"

    def start_process(self, name, arguments):
        log = open(os.path.join(self.work_dir, name + ".log"), "ab")
        self.commands[name] = arguments
        self.processes[name] = subprocess.Popen(
            arguments, stdout=log, stderr=log, start_new_session=True
        )
        log.close()

    def start_standin(self, name, kind, port, *arguments):
        binary = os.path.join(BUILD, "tools", "standins", "baobab-standin")
        self.start_process(
            name, [binary, kind, "--port", str(port), *arguments]
        )

    def start_standins(self):
        self.start_standin("kv", "kv", self.kv_port)
        self.start_standin(
            "hosts", "hosts", self.hosts_port, "--lag-ms", "500")
        for index, port in enumerate(self.engine_ports):
            self.start_standin(
                f"engine-{index}", "engine", port, *self.engine_args)
        for index, port in enumerate(self.service_ports):
            self.start_standin(f"service-{index}", "plain", port)

    def start_router(self, index, *arguments):
        peers = ",".join(f"127.0.0.1:{port}" for port in self.control_ports)
        self.start_process(
            f"router-{index}",
            [
                self.baobabd_path,
                "--listen", f"127.0.0.1:{self.http_ports[index]}",
                "--control-listen", f"127.0.0.1:{self.control_ports[index]}",
                "--data-centre", DATA_CENTRES[index % 3],
                "--kv-url", self.kv_url,
                "--host-list-url", f"http://127.0.0.1:{self.hosts_port}/hosts",
                "--peers", peers,
                "--fleet-secrets", SECRET,
                *arguments,
            ],
        )

    def start(self, *router_arguments):
        self.start_standins()
        for index in range(len(self.http_ports)):
            self.start_router(index, *router_arguments)

    def write_preset(self, name="ordinary-day", modify=None):
        """Writes an example preset with this fleet's addresses.

        Calls `modify` on the preset before it is written. Returns the path.
        """
        source_path = os.path.join(
            ROOT, "examples", "blommedal", name + ".json")
        with open(source_path, encoding="utf-8") as file:
            preset = json.load(file)
        engine_service, plain_service = preset["services"]
        engine_service["upstreams"] = (
            engine_service["upstreams"][:len(self.engine_ports)])
        plain_service["upstreams"] = (
            plain_service["upstreams"][:len(self.service_ports)])
        for ports, service in (
            (self.engine_ports, engine_service),
            (self.service_ports, plain_service)
        ):
            for port, upstream in zip(ports, service["upstreams"]):
                upstream["address"] = f"127.0.0.1:{port}"
        if modify:
            modify(preset)
        path = os.path.join(self.work_dir, preset["name"] + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(preset, file, indent=2)
        return path

    def router_url(self, index):
        return f"http://127.0.0.1:{self.http_ports[index]}"

    def baobabctl(self, *arguments, check=True):
        command = [
            os.path.join(BUILD, "tools", "baobabctl", "baobabctl"),
            "--kv-url", self.kv_url,
            "--router", ",".join(
                self.router_url(i) for i in range(len(self.http_ports))
            ),
            "--author", "demo",
            *arguments,
        ]
        result = subprocess.run(
            command, capture_output=True, text=True, timeout=60, check=False
        )
        if check and result.returncode != 0:
            raise RuntimeError(f"{command}: {result.stdout}{result.stderr}")
        return result

    def wait_ready(self, indices=None, timeout_s=20):
        """Waits until the routers respond to /readyz with 200."""
        deadline = time.monotonic() + timeout_s
        for index in indices or range(len(self.http_ports)):
            while True:
                try:
                    if send_request(
                            self.router_url(index) + "/readyz")[0] == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > deadline:
                    raise RuntimeError(
                        f"router {index} is not ready after {timeout_s} s")
                time.sleep(0.05)

    def wait_listening(self, port, timeout_s=10):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            try:
                socket.create_connection(("127.0.0.1", port), 1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError(f"nothing listens on port {port}")

    def start_and_wait(self, *router_arguments, preset=None):
        """Starts all processes and waits until chats can be served."""
        self.start(*router_arguments)
        self.wait_listening(self.kv_port)
        self.baobabctl("preset", "activate", preset or self.write_preset())
        self.wait_ready()
        self.wait_listening(self.engine_ports[-1])
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            rows = json.loads(
                self.baobabctl("--output", "json", "upstream", "list").stdout
            )
            engine_rows = [
                row for row in rows if not row["name"].startswith("pass-app")]
            all_listed = len(engine_rows) == len(self.engine_ports)
            if all_listed and all(row["limit"] > 0 for row in engine_rows):
                return
            time.sleep(0.1)
        raise RuntimeError("engines did not warm up within 20 s")

    def send_chat(self, router, chat_id, customer="c0", text="hello",
                  stream=True, max_tokens=10, timeout=30, headers=None):
        body = {
            "model": "frugt-lm",
            "stream": stream,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": text}],
        }
        return send_request(
            self.router_url(router) + "/v1/chat/completions", "POST", body,
            {"X-Customer": customer, "X-Chat-Id": chat_id, **(headers or {})},
            timeout,
        )

    def send_booking(self, router, key, timeout_ms=5000, headers=None,
                     timeout=15):
        return send_request(
            self.router_url(router) + "/services/pass-app/bookings", "POST",
            {"row": 7},
            {"X-Customer": "c1", "Idempotency-Key": key,
             "X-Timeout-Ms": str(timeout_ms), **(headers or {})},
            timeout,
        )

    def execution_counts(self):
        """Returns how often each key ran on all plain services together."""
        counts = {}
        for port in self.service_ports:
            text = send_request(f"http://127.0.0.1:{port}/executions")[2]
            for key, count in (json.loads(text) or {}).items():
                counts[key] = counts.get(key, 0) + count
        return counts

    def send_signal(self, name, number):
        os.kill(self.processes[name].pid, number)

    def stop(self):
        """Kills every process that this object started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes = {}

    def addresses(self):
        def process_entry(process, port, **fields):
            return {"url": f"http://127.0.0.1:{port}",
                    "pid": self.processes[process].pid, **fields}

        return {
            "routers": [
                process_entry(f"router-{i}", port,
                              data_centre=DATA_CENTRES[i % 3])
                for i, port in enumerate(self.http_ports)
            ],
            "kv": process_entry("kv", self.kv_port),
            "hosts": process_entry("hosts", self.hosts_port),
            "engines": [
                process_entry(f"engine-{i}", port)
                for i, port in enumerate(self.engine_ports)
            ],
            "services": [
                process_entry(f"service-{i}", port, name="pass-app")
                for i, port in enumerate(self.service_ports)
            ],
        }
