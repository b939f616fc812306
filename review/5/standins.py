"""Stand-ins for the platform's store, servers and clients, and the start of
routers with the command of the deploy file. The same in each case's folder, so
that each stands by itself."""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
#: Bounds of the site files of `sites/`, from SYSTEM.md.
BOUNDS = {
    "graceS": 8, "configMs": 2000, "revokeMs": 5000, "retryRatio": 0.2,
    "retrySlack": 58, "budgetWindowS": 10, "coldOverrun": 1.5, "coldSlack": 5,
}
DRAIN_S = 2.0
REVOKE_S = 5.0
STABILITY_S = 3.0
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes timestamped lines to record.txt in the case's folder."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w",
                          encoding="utf-8")
        self._start = time.monotonic()
        self._lock = threading.Lock()

    def now(self):
        return time.monotonic() - self._start

    def line(self, text):
        with self._lock:
            self._file.write(f"{self.now():9.3f} {text}\n")

    def result(self, text):
        self.line(text)
        print(text)

    def close(self):
        self._file.close()


def free_port():
    """Returns a TCP and UDP port of loopback that is free at the moment."""
    while True:
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
                try:
                    udp.bind(("127.0.0.1", port))
                except OSError:
                    continue
            if port not in free_port.taken:
                free_port.taken.add(port)
                return port


free_port.taken = set()


async def read_head(reader):
    """Reads a start line and headers. Returns (None, None) at the end."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None, None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for text in lines[1:]:
        if ":" in text:
            name, value = text.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def reset(writer):
    """Closes a connection with a reset."""
    try:
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except (OSError, AttributeError):
        pass
    writer.close()


class Store:
    """The platform's key-value store: PROTOCOL.md, and Store-Era of NEWS.md."""

    def __init__(self, record):
        self._record = record
        self.port = free_port()
        self.era = 1
        self.away = False
        self._revision = 1
        self._items = {}
        self._history = []
        self._first_revision = 1
        self._leases = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1",
                                                  self.port)
        self._expiry = asyncio.create_task(self._expire())

    # Writes of the operator and of servers, which are other clients of the
    # store. They return when the store has accepted them.

    def write(self, key, value, lease=0):
        self._put(key, base64.b64encode(json.dumps(value).encode()).decode(),
                  lease)

    def remove(self, key):
        if self._items.pop(key, None) is not None:
            self._revision += 1
            self._note({"key": key, "rev": self._revision, "deleted": True})

    def grant(self, ttl_ms):
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = [time.monotonic() + ttl_ms / 1000, ttl_ms]
        return lease

    def copy(self):
        """Returns a copy from which the store can be restored."""
        return (self._revision, {k: dict(v) for k, v in self._items.items()},
                {k: list(v) for k, v in self._leases.items()},
                self._next_lease)

    def leave(self):
        """Begins a drill: calls get no answer, connections are reset."""
        self.away = True
        for writer in list(self._writers):
            reset(writer)

    def restore(self, saved):
        """Ends the drill: the store comes back from a copy."""
        self._revision, items, leases, self._next_lease = saved
        self._items = {k: dict(v) for k, v in items.items()}
        now = time.monotonic()
        # Leases of the copy run from the return.
        self._leases = {k: [now + v[1] / 1000, v[1]] for k, v in
                        leases.items()}
        self._history = []
        self._first_revision = self._revision
        self.era += 1
        self.away = False

    def _put(self, key, value, lease):
        self._revision += 1
        old = self._items.get(key)
        item = {"key": key, "value": value, "rev": self._revision,
                "createRevision":
                    old["createRevision"] if old else self._revision,
                "lease": lease}
        self._items[key] = item
        self._note(item)

    def _note(self, event):
        self._history.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.1)
            if not self.away:
                self.expire_now()

    def expire_now(self):
        """Ends the leases whose time is over, and removes their keys."""
        now = time.monotonic()
        for lease in [l for l, (end, _) in self._leases.items() if end < now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key in [k for k, i in self._items.items() if i["lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader, writer):
        if self.away:
            reset(writer)
            return
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                if line is None:
                    break
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                if self.away:
                    reset(writer)
                    break
                await asyncio.sleep(0.004)  # the store's answer takes 4 ms
                era = self.era
                status, value = await self._answer(line, body)
                if self.away or era != self.era:
                    reset(writer)
                    break
                payload = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: {self.era}\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                    + payload)
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, line, body):
        method, target, _ = line.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, True))
        path = url.path
        if path == "/api/kv-range":
            keys = sorted(k for k in self._items
                          if k.startswith(query.get("prefix", ""))
                          and k > query.get("after", ""))
            return 200, {"entries": [self._items[k] for k in keys[:500]],
                         "morePages": len(keys) > 500, "asOf": self._revision}
        if path == "/api/kv-key":
            item = self._items.get(query["key"])
            return (200, {**item, "asOf": self._revision}) if item else (404,
                                                                         {})
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return self._commit(json.loads(body))
        if path == "/api/kv-lease":
            ttl_ms = json.loads(body)["ttlMs"]
            return 200, {"lease": self.grant(ttl_ms), "ttlMs": ttl_ms}
        if path.startswith("/api/kv-keep/"):
            lease = self._leases.get(int(path.rsplit("/", 1)[1]))
            if lease is None:
                return 404, {}
            lease[0] = time.monotonic() + lease[1] / 1000
            return 200, {"ttlMs": lease[1]}
        if path.startswith("/api/kv-lease-end/") and method == "DELETE":
            self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def _watch(self, query):
        after = int(query["after"])
        prefix = query.get("prefix", "")
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        if after > self._revision or after < self._first_revision:
            return 410, {}
        era = self.era
        while True:
            events = [e for e in self._history
                      if e["rev"] > after and e["key"].startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0 or self.away or era != self.era:
                return 200, {"events": events, "asOf": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _commit(self, body):
        for row in body["expectRev"]:
            if self._items.get(row["key"], {"rev": 0})["rev"] != row["rev"]:
                return 412, {"entries": []}
        for row in body["writes"]:
            if row.get("lease", 0) and row["lease"] not in self._leases:
                return 404, {}
        for row in body["writes"]:
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in body["remove"]:
            self.remove(key)
        return 200, {"rev": self._revision}


class Server:
    """A server of a service: runs requests, and registers in the store."""

    def __init__(self, record, store, server_id, service, zone="z1",
                 work_s=0.02, slots=6, load_header=False):
        self.record, self.store = record, store
        self.id, self.service, self.zone = server_id, service, zone
        self.work_s, self.slots = work_s, slots
        self.load_header = load_header
        self.phase = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.port = free_port()
        self.runs = []
        self.running = 0
        self.is_up = False
        self.heartbeats = None
        self.lease = 0
        self._writers = set()
        #: Called with (server, headers) before the answer begins; returns True
        #: to crash.
        self.crashes_on = None
        #: Events of an answer on a streaming path, and the pause between.
        self.events, self.gap_s = 3, 0.05

    async def start(self):
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1",
                                                    self.port)
        self.is_up = True
        self.heartbeats = asyncio.create_task(self._write_heartbeats())

    def entry(self):
        self.seq += 1
        return {"service": self.service, "address": f"127.0.0.1:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "phase": self.phase, "coldLeftMs": 0, "seq": self.seq,
                "born": self.born}

    def write_entry(self):
        if not self.store.away:
            self.store.write(f"servers/{self.id}", self.entry())

    async def _write_heartbeats(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """Ends the process: the listener and every connection."""
        self.is_up = False
        self.heartbeats.cancel()
        self._listener.close()
        for writer in list(self._writers):
            reset(writer)

    async def restart(self, server_id):
        """Starts again at the same address, as a new lifetime."""
        self.id = server_id
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = 0
        await self.start()

    async def _serve(self, reader, writer):
        if not self.is_up:
            reset(writer)
            return
        self._writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                if line is None:
                    break
                size = int(headers.get("content-length", 0))
                if size:
                    await reader.readexactly(size)
                if not await self._run(line, headers, writer):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _head(self, status, headers, fields):
        text = f"HTTP/1.1 {status} X\r\n"
        fields = {"X-Request-Id": headers.get("x-request-id", ""), **fields}
        if self.phase == "draining":
            fields["Server-Leaving"] = "1"
        if self.load_header:
            fields["X-Server-Load"] = f"{self.running},0,{self.slots}"
        for name, value in fields.items():
            text += f"{name}: {value}\r\n"
        return (text + "\r\n").encode()

    async def _run(self, line, headers, writer):
        request_id = headers.get("x-request-id", "")
        expected = headers.get("x-expect-instance", self.id)
        if expected != self.id:
            writer.write(self._head(421, headers, {"X-Instance": self.id,
                                                   "Content-Length": "0"}))
            await writer.drain()
            return True
        if not self.is_up:
            return False
        self.record.line(f"server {self.id} runs {request_id} "
                         f"tenant={headers.get('x-tenant')} "
                         f"phase={self.phase}")
        self.runs.append((time.monotonic(), request_id))
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
            if not self.is_up:
                return False
            if self.crashes_on and self.crashes_on(self, headers):
                self.record.line(f"server {self.id} crashes on {request_id}")
                self.crash()
                return False
            stamp = {"X-Server-Stamp": f"{self.id}.{request_id}",
                     "Keep-Alive": "timeout=4"}
            if "/stream" not in line:
                body = f"answer to {request_id}".encode()
                writer.write(self._head(200, headers, {
                    **stamp, "Content-Length": str(len(body))}) + body)
                await writer.drain()
                return True
            writer.write(self._head(200, headers, {
                **stamp, "Content-Type": "text/event-stream",
                "Transfer-Encoding": "chunked"}))
            first = int(headers.get("last-event-id", 0)) + 1
            for number in range(first, self.events + 1):
                event = f"id: {number}\ndata: {request_id}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(self.gap_s)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return True
        finally:
            self.running -= 1


class Router:
    """A router process, started as deploy/system.toml says."""

    def __init__(self, record, work_dir, name, store_port, zone="z1"):
        self.record, self.name = record, name
        self.port, self.ready_port = free_port(), free_port()
        fields = {
            "nodeName": name, "zone": zone, "ip": "127.0.0.1",
            "listen": {"frontend": f"127.0.0.1:{self.port}",
                       "ready": f"127.0.0.1:{self.ready_port}"},
            "portRange": [free_port(), free_port()],
            "platform": {"address": f"127.0.0.1:{store_port}"},
            "bounds": BOUNDS}
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["router"]
        with open(os.path.join(ROOT, role["template"]),
                  encoding="utf-8") as file:
            text = file.read()
        self._path = os.path.join(work_dir, f"{name}.toml")
        with open(self._path, "w", encoding="utf-8") as file:
            file.write(render(text, fields))
        self._command = role["run"].replace("/etc/baobabloft/boot.toml",
                                            self._path).split()
        self._command[0] = os.path.join(ROOT, self._command[0])
        self._environment = {
            "PATH": os.environ["PATH"], "HOME": work_dir,
            "BAOBABLOFT_NODE_FILE": self._path, **role["env"]}
        self._log = os.path.join(work_dir, f"{name}.log")
        self.process = None
        self.started_at = 0.0

    def start(self):
        if not os.path.exists(self._command[0]):
            raise CannotRun(f"{self._command[0]} is not built")
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(
                self._command, cwd=ROOT, env=self._environment, stdout=log,
                stderr=log)
        self.started_at = time.monotonic()
        self.record.line(f"router {self.name} starts")

    async def terminate(self):
        """SIGTERM, and SIGKILL after graceS, as the platform does."""
        self.record.line(f"router {self.name} gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + BOUNDS["graceS"]
        while self.process.poll() is None:
            if time.monotonic() > deadline:
                self.process.kill()
            await asyncio.sleep(0.02)
        self.record.line(f"router {self.name} has ended")

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_lines(self, *events):
        with open(self._log, encoding="utf-8", errors="replace") as file:
            return [line.rstrip() for line in file
                    if any(f"event={event} " in line for event in events)]

    async def is_ready(self):
        status, _, _ = await call(self.ready_port, "GET", "/api/readyz",
                                  {"Host": "a"}, timeout=1.0)
        return status == 200


def render(text, fields):
    """Fills in the placeholders {{a}}, {{a.b}} and {{a.0}} of a template."""
    while "{{" in text:
        begin = text.index("{{")
        end = text.index("}}", begin)
        value = fields
        for part in text[begin + 2:end].split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        text = text[:begin] + str(value) + text[end + 2:]
    return text


async def call(port, method, path, headers, body=b"", timeout=5.0):
    """Sends one request on a new connection.

    Returns (status, headers, body); status is 0 if there is no whole answer."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", port), 1.0)
        text = f"{method} {path} HTTP/1.1\r\n"
        for name, value in headers.items():
            text += f"{name}: {value}\r\n"
        if method == "POST":
            text += f"Content-Length: {len(body)}\r\n"
        writer.write(text.encode() + b"\r\n" + body)
        return await asyncio.wait_for(read_answer(reader), timeout)
    except (OSError, asyncio.TimeoutError, ValueError,
            asyncio.IncompleteReadError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader):
    line, headers = await read_head(reader)
    if line is None:
        return 0, {}, b""
    status = int(line.split(" ")[1])
    if headers.get("transfer-encoding") != "chunked":
        size = int(headers.get("content-length", 0))
        return status, headers, await reader.readexactly(size)
    body = b""
    while True:
        size = int((await reader.readline()).strip(), 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return status, headers, body
        body += chunk[:-2]


def run_case(folder, case):
    """Runs `case(record, work_dir, trouble)`, a coroutine that returns True if
    the rule held, and exits with 0, 1 or 2."""
    record = Record(folder)
    work_dir = tempfile.mkdtemp(prefix="baobab-review-")
    trouble = sys.argv[1:] != ["--without-trouble"]
    record.line(f"TROUBLE={int(trouble)}")
    processes = []
    code = 2

    def stop(_number, _frame):
        for router in processes:
            router.kill()
        shutil.rmtree(work_dir, ignore_errors=True)
        os._exit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    try:
        held = asyncio.run(case(record, work_dir, trouble, processes))
        code = 0 if held else 1
    except CannotRun as error:
        record.result(f"cannot run: {error}")
    except Exception as error:  # the case itself failed
        record.result(f"cannot run: {type(error).__name__}: {error}")
    finally:
        for router in processes:
            router.kill()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(work_dir, os.environ["KEEP_LOGS"],
                            dirs_exist_ok=True)
        shutil.rmtree(work_dir, ignore_errors=True)
        record.result(f"exit {code}")
        record.close()
    sys.exit(code)


async def wait_ready(routers, timeout=8.0):
    deadline = time.monotonic() + timeout
    for router in routers:
        while not await router.is_ready():
            if time.monotonic() > deadline:
                raise CannotRun(f"{router.name} is not ready")
            await asyncio.sleep(0.05)
