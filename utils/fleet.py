"""Starts and stops a small fleet with its stand-ins on loopback.

Shared by the demo and by the end-to-end tests.
"""

import json
import os
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


def free_ports(count):
    """Returns TCP port numbers that are free on 127.0.0.1."""
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind(("127.0.0.1", 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def call(url, method="GET", body=None, headers=None, timeout=10):
    """Returns (status, headers, text); refusals are returned, not raised."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method)
    request.add_header("Content-Type", "application/json")
    for name, value in (headers or {}).items():
        request.add_header(name, value)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            return reply.status, dict(reply.headers), reply.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read().decode()


def new_key(now_ms=None):
    """Returns a new UUIDv7."""
    now_ms = int(time.time() * 1000) if now_ms is None else now_ms
    random = int.from_bytes(os.urandom(10), "big")
    value = (now_ms << 80) | random
    value = value & ~(0xF << 76) | (0x7 << 76)
    value = value & ~(0x3 << 62) | (0x2 << 62)
    text = f"{value:032x}"
    return "-".join(
        [text[:8], text[8:12], text[12:16], text[16:20], text[20:]]
    )


class Fleet:
    """Routers and stand-ins as processes of this one."""

    def __init__(self, folder, routers=3, engines=9, services=3,
                 engine_args=(), baobabd=None):
        self.folder = folder
        self.baobabd = baobabd or os.path.join(
            BUILD, "tools", "baobabd", "baobabd")
        self.engine_args = list(engine_args)
        self.processes = {}
        self.commands = {}
        os.makedirs(folder, exist_ok=True)
        ports = free_ports(2 + 2 * routers + engines + services)
        self.kv_port, self.hosts_port = ports[:2]
        self.http_ports = ports[2:2 + routers]
        self.control_ports = ports[2 + routers:2 + 2 * routers]
        rest = ports[2 + 2 * routers:]
        self.engine_ports = rest[:engines]
        self.service_ports = rest[engines:]
        self.kv_url = f"http://127.0.0.1:{self.kv_port}"

    def start_process(self, name, arguments):
        log = open(os.path.join(self.folder, name + ".log"), "ab")
        self.commands[name] = arguments
        self.processes[name] = subprocess.Popen(
            arguments, stdout=log, stderr=log, start_new_session=True
        )
        log.close()

    def standin(self, name, kind, port, *arguments):
        binary = os.path.join(BUILD, "tools", "standins", "baobab-standin")
        self.start_process(
            name, [binary, kind, "--port", str(port), *arguments]
        )

    def start_standins(self):
        self.standin("kv", "kv", self.kv_port)
        self.standin("hosts", "hosts", self.hosts_port, "--lag-ms", "500")
        for index, port in enumerate(self.engine_ports):
            self.standin(f"engine-{index}", "engine", port, *self.engine_args)
        for index, port in enumerate(self.service_ports):
            self.standin(f"service-{index}", "plain", port)

    def start_router(self, index, *arguments):
        peers = ",".join(f"127.0.0.1:{port}" for port in self.control_ports)
        self.start_process(
            f"router-{index}",
            [
                self.baobabd,
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

    def preset(self, name="ordinary-day", change=None):
        """Returns the path of an example preset with this fleet's addresses."""
        source = os.path.join(ROOT, "examples", "blommedal", name + ".json")
        with open(source, encoding="utf-8") as file:
            preset = json.load(file)
        model, plain = preset["services"]
        model["upstreams"] = model["upstreams"][:len(self.engine_ports)]
        plain["upstreams"] = plain["upstreams"][:len(self.service_ports)]
        for ports, service in (
            (self.engine_ports, model), (self.service_ports, plain)
        ):
            for port, upstream in zip(ports, service["upstreams"]):
                upstream["address"] = f"127.0.0.1:{port}"
        if change:
            change(preset)
        path = os.path.join(self.folder, preset["name"] + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(preset, file, indent=2)
        return path

    def router_url(self, index):
        return f"http://127.0.0.1:{self.http_ports[index]}"

    def ctl(self, *arguments, check=True):
        command = [
            os.path.join(BUILD, "tools", "baobabctl", "baobabctl"),
            "--kv-url", self.kv_url,
            "--router", ",".join(
                self.router_url(i) for i in range(len(self.http_ports))
            ),
            "--author", "demo",
            *arguments,
        ]
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=60, check=False
        )
        if check and done.returncode != 0:
            raise RuntimeError(f"{command}: {done.stdout}{done.stderr}")
        return done

    def wait_ready(self, indices=None, seconds=20):
        """Waits until the routers answer /readyz with 200."""
        end = time.monotonic() + seconds
        for index in indices or range(len(self.http_ports)):
            while True:
                try:
                    if call(self.router_url(index) + "/readyz")[0] == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > end:
                    raise RuntimeError(f"router {index} does not get ready")
                time.sleep(0.05)

    def wait_listening(self, port, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                socket.create_connection(("127.0.0.1", port), 1).close()
                return
            except OSError:
                time.sleep(0.05)
        raise RuntimeError(f"nothing listens on port {port}")

    def begin(self, *router_arguments, preset=None):
        """Starts everything and waits until chats can be served."""
        self.start(*router_arguments)
        self.wait_listening(self.kv_port)
        self.ctl("preset", "activate", preset or self.preset())
        self.wait_ready()
        self.wait_listening(self.engine_ports[-1])
        end = time.monotonic() + 20
        while time.monotonic() < end:
            rows = json.loads(
                self.ctl("--output", "json", "upstream", "list").stdout
            )
            models = [r for r in rows if not r["name"].startswith("pass-app")]
            full = len(models) == len(self.engine_ports)
            if full and all(row["limit"] > 0 for row in models):
                return
            time.sleep(0.1)
        raise RuntimeError("engines do not get warm")

    def chat(self, router, chat, customer="c0", text="hello", stream=True,
             max_tokens=10, timeout=30, headers=None):
        body = {
            "model": "frugt-lm",
            "stream": stream,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": text}],
        }
        return call(
            self.router_url(router) + "/v1/chat/completions", "POST", body,
            {"X-Customer": customer, "X-Chat-Id": chat, **(headers or {})},
            timeout,
        )

    def book(self, router, key, timeout_ms=5000, headers=None, timeout=15):
        return call(
            self.router_url(router) + "/services/pass-app/bookings", "POST",
            {"row": 7},
            {"X-Customer": "c1", "Idempotency-Key": key,
             "X-Timeout-Ms": str(timeout_ms), **(headers or {})},
            timeout,
        )

    def executions(self):
        """Returns how often each key ran, over all plain services."""
        total = {}
        for port in self.service_ports:
            text = call(f"http://127.0.0.1:{port}/executions")[2]
            for key, count in (json.loads(text) or {}).items():
                total[key] = total.get(key, 0) + count
        return total

    def signal(self, name, number):
        os.kill(self.processes[name].pid, number)

    def stop(self):
        """Ends every process that this object started, by pid."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes = {}

    def addresses(self):
        def entry(process, port, **more):
            return {"url": f"http://127.0.0.1:{port}",
                    "pid": self.processes[process].pid, **more}

        return {
            "routers": [
                entry(f"router-{i}", port, data_centre=DATA_CENTRES[i % 3])
                for i, port in enumerate(self.http_ports)
            ],
            "kv": entry("kv", self.kv_port),
            "hosts": entry("hosts", self.hosts_port),
            "engines": [
                entry(f"engine-{i}", port)
                for i, port in enumerate(self.engine_ports)
            ],
            "services": [
                entry(f"service-{i}", port, name="pass-app")
                for i, port in enumerate(self.service_ports)
            ],
        }
