"""Stand-ins of the platform, its servers and its clients, for the scripts of
this review. Everything listens on loopback addresses and free ports."""
import asyncio
import base64
import itertools
import json
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[1]
BINARY = ROOT / "target/tools/baobabd/baobabd"
TEMPLATE = ROOT / "deploy/settings.template"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# As printed by `fleetbench wire` for Blommedal.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stabilityWindowMs": 3000,
          "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
          "lostMs": 200, "configMs": 2000, "backMs": 250, "outerMs": 5000,
          "strictRevoke": True, "revokeMs": 5000, "retryRatio": 0.2,
          "budgetWindowS": 10, "retrySlack": 58, "coldOverrun": 1.5,
          "coldSlack": 5, "evacMs": 5000, "recoverS": 12, "passMs": 120,
          "againS": 10, "capX": 2}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
          "headerTimeoutMs": 5000, "idleTimeoutMs": 10000}

START = time.monotonic()
#: Processes that this script has started.
started = []


def now():
    return time.monotonic() - START


async def start_process(*command, **options):
    process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, **options)
    started.append(process)
    return process


def end_processes():
    """Kills what still runs of the processes that this script has started."""
    for process in started:
        if process.returncode is None:
            try:
                os.kill(process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass


class Record:
    """Writes one line for each thing sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")

    def line(self, *words):
        self.file.write(f"{now():9.3f} " + " ".join(map(str, words)) + "\n")
        self.file.flush()


def free_ports(count):
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def render(template, fields):
    """Renders the placeholders that deploy/settings.template uses."""
    def look_up(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part)
            if value is None:
                return None
        return value

    def section(match):
        value = look_up(match[1])
        return "" if value is None else match[2].replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: "" if look_up(m[1]) is None else str(look_up(m[1])),
                  text)


async def read_head(reader):
    """Reads a message's head. Returns its first line and its fields with
    names in lower case."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, on_part=None):
    """Reads a body with a length or in chunks."""
    parts = []

    async def take(count):
        left = count
        while left > 0:
            part = await reader.read(min(left, 65536))
            if not part:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(part)
            parts.append(part)
            if on_part:
                await on_part(part)

    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                await reader.readuntil(b"\r\n")
                return b"".join(parts)
            await take(size)
            await reader.readexactly(2)
    await take(int(fields.get("content-length", 0)))
    return b"".join(parts)


class Store:
    """The platform's store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.items, self.history, self.leases = {}, [], {}
        self.rev, self.next_lease, self.compacted = 1, 1, 0
        self.changed = asyncio.Event()
        self.hook = None  # may delay or refuse a call: async (method, path)
        self.era, self.away, self.channels = 1, False, set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        asyncio.ensure_future(self.expire())

    def write(self, key, value, lease=0):
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.rev += 1
        created = self.items.get(key, {}).get("createRevision", self.rev)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "rev": self.rev, "createRevision": created, "lease": lease}
        self.items[key] = item
        self.history.append(item)
        self.notify()

    def remove(self, key):
        if self.items.pop(key, None) is None:
            return
        self.rev += 1
        self.history.append({"key": key, "rev": self.rev, "deleted": True})
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self):
        while True:
            await asyncio.sleep(0.1)
            for lease, (until, _) in list(self.leases.items()):
                if until < now():
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    def copy(self):
        return {"items": dict(self.items), "history": list(self.history),
                "leases": dict(self.leases), "rev": self.rev,
                "next_lease": self.next_lease}

    def leave(self):
        self.away = True
        for writer in list(self.channels):
            writer.close()

    def restore(self, copy):
        """Returns from a copy: what was written since is gone, and revisions
        are given out again."""
        self.items, self.history = dict(copy["items"]), list(copy["history"])
        self.rev, self.next_lease = copy["rev"], copy["next_lease"]
        self.leases = {lease: (now() + ttl / 1000, ttl)
                       for lease, (_, ttl) in copy["leases"].items()}
        self.era += 1
        self.away = False
        self.notify()

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while not self.away:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = first.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(url.query, True))
                if self.hook:
                    verdict = await self.hook(method, url.path)
                    if verdict == "close":
                        return
                await asyncio.sleep(0.004)
                era = self.era
                status, value = await self.call(method, url.path, query, body)
                if self.away or era != self.era:
                    return
                text = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json"
                    f"\r\nStore-Era: {era}\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    async def call(self, method, path, query, body):
        if path == "/api/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = [k for k in sorted(self.items)
                    if k.startswith(prefix) and k > after]
            page, size = [], 0
            for key in keys[:500]:
                size += len(self.items[key]["value"])
                if page and size > 1_000_000:
                    break
                page.append(self.items[key])
            return 200, {"entries": page, "morePages": len(page) < len(keys),
                         "asOf": self.rev}
        if path == "/api/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "asOf": self.rev}) if item else (404, {})
        if path == "/api/kv-watch":
            return await self.watch(query.get("prefix", ""),
                                    int(query["after"]), int(query["waitMs"]))
        if path == "/api/kv-txn":
            return self.commit(json.loads(body))
        if path == "/api/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = json.loads(body)["ttlMs"]
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return 200, {"lease": lease, "ttlMs": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if path.startswith("/api/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][1]
            self.leases[lease] = (now() + ttl / 1000, ttl)
            return 200, {"ttlMs": ttl}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, prefix, after, wait_ms):
        until = now() + wait_ms / 1000
        while True:
            if after < self.compacted or after > self.rev:
                return 410, {}
            events = [i for i in self.history
                      if i["rev"] > after and i["key"].startswith(prefix)]
            if events or now() >= until:
                return 200, {"events": events, "asOf": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                pass

    def commit(self, body):
        failed = [self.items.get(row["key"], {"key": row["key"], "rev": 0})
                  for row in body.get("expectRev", [])
                  if self.items.get(row["key"], {"rev": 0})["rev"]
                  != row["rev"]]
        if failed:
            return 412, {"entries": failed}
        for row in body.get("writes", []):
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        for row in body.get("writes", []):
            self.write(row["key"], base64.b64decode(row["value"]),
                       row.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.rev}


class Server:
    """A server of a service. Registers in the store, checks in, and runs
    requests; `run(self, request)` may be replaced."""

    def __init__(self, store, record, server_id, service, zone="fyn-a",
                 slots=64, work_s=0.02):
        self.store, self.record, self.id = store, record, server_id
        self.service, self.zone, self.slots = service, zone, slots
        self.work_s, self.phase, self.seq = work_s, "ready", 0
        self.born = int(time.time() * 1000)
        self.runs, self.on_body_part = [], None
        self.extra = {}
        self.writers = set()
        self.heads = set()  # ids of requests whose head has arrived

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.beating = asyncio.ensure_future(self.beat())

    def check_in(self):
        self.seq += 1
        self.store.write(f"servers/{self.id}", {
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": self.zone, "version": "1", "slots": self.slots,
            "phase": self.phase, "coldLeftMs": 0, "seq": self.seq,
            "born": self.born})

    async def beat(self):
        while True:
            if not self.store.away:
                self.check_in()
            await asyncio.sleep(1.2)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, fields = await read_head(reader)
                method, target, _ = first.split(" ", 2)
                self.heads.add(fields.get("x-request-id", ""))
                body = await read_body(reader, fields, self.on_body_part)
                request = {"method": method, "target": target,
                           "fields": fields, "body": body, "writer": writer,
                           "reader": reader}
                await self.answer(request)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        fields, writer = request["fields"], request["writer"]
        request_id = fields.get("x-request-id", "")
        if fields.get("x-expect-instance") != self.id:
            self.send(writer, 421, request_id, {"X-Instance": self.id})
            return
        self.runs.append(request_id)
        self.record.line("run", self.id, request_id,
                         fields.get("x-tenant", "-"), len(request["body"]))
        await asyncio.sleep(self.work_s)
        self.send(writer, 200, request_id, self.stamp(request_id),
                  self.content(request_id))
        await writer.drain()

    def content(self, request_id):
        return f"answer to {request_id}".encode()

    def stamp(self, request_id):
        return {"X-Server-Stamp": f"{self.id}.{request_id}"}

    def send(self, writer, status, request_id, fields, body=b""):
        head = [f"HTTP/1.1 {status} X", f"X-Request-Id: {request_id}",
                f"Content-Length: {len(body)}"]
        head += [f"{n}: {v}" for n, v in {**self.extra, **fields}.items()]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)


class Router:
    """One process of the deploy file's role, with its settings file."""

    def __init__(self, name, zone, store_port, folder, bounds=None):
        self.name, self.zone = name, zone
        ports = free_ports(5)
        self.front, self.ready = ports[0], ports[1]
        self.fields = {
            "nodeName": name, "zone": zone, "ip": "127.0.0.1",
            "portRange": [ports[2], ports[3]],
            "listen": {"frontend": f"127.0.0.1:{self.front}",
                       "ready": f"127.0.0.1:{self.ready}"},
            "platform": {"address": f"127.0.0.1:{store_port}"},
            "bounds": {**BOUNDS, **(bounds or {})}}
        self.settings = pathlib.Path(folder) / f"{name}.toml"
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.process, self.starts = None, 0
        self.write_settings()

    def write_settings(self):
        self.settings.write_text(render(TEMPLATE.read_text(), self.fields))

    async def start(self):
        self.starts += 1
        self.log_file = open(self.log, "ab")
        self.process = await start_process(
            str(BINARY), "--settings-file", str(self.settings),
            stdout=self.log_file, stderr=self.log_file,
            env={"PATH": os.environ["PATH"], "GSETTINGS_BACKEND": "memory"})

    def rss_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s+(\d+)", text)
        return int(found[1]) / 1024 if found else 0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1",
                                                           self.ready)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n"
                         b"Connection: close\r\n\r\n")
            first, _ = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
            return " 200 " in first
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit_s=15):
        until = now() + limit_s
        while now() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Channel:
    """A client's kept channel to a router."""

    def __init__(self, port):
        self.port, self.writer = port, None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.port)

    def close(self):
        if self.writer:
            self.writer.close()
        self.writer = None

    async def ask(self, method, path, request_id, deadline_ms, body=b"",
                  fields=None, on_sent=None):
        """Returns (status, fields, body), or None if the channel ended."""
        head = [f"{method} {path} HTTP/1.1", "Host: pass.example",
                f"X-Request-Id: {request_id}", f"X-Deadline-Ms: {deadline_ms}"]
        if method != "GET":
            head.append(f"Content-Length: {len(body)}")
        head += [f"{n}: {v}" for n, v in (fields or {}).items()]
        try:
            if self.writer is None:
                await self.open()
            self.writer.write("\r\n".join(head).encode() + b"\r\n\r\n" + body)
            await self.writer.drain()
            if on_sent:
                on_sent()
            first, answer = await read_head(self.reader)
            content = await read_body(self.reader, answer)
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return None
        if answer.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), answer, content


def route(name, prefix, service, kind, **more):
    return {"name": name, "hostname": "pass.example", "prefix": prefix,
            "routeKind": kind, "timeoutMs": 10000, "goalMs": 100,
            "priority": 1, "attempts": 2, "service": service, **more}


def config(version, routes, services, tenants=None, limits=None):
    value = {"version": version, "routes": routes,
             "services": [{"name": s, "maxConns": 370, "healthPath": "/healthz"}
                          for s in services],
             "limits": limits or LIMITS}
    if tenants is not None:
        value["tenants"] = tenants
    return value


ids = itertools.count(1)


def new_id():
    return f"{os.getpid():x}{next(ids):08x}"


def end_on_signal(_number, _frame):
    raise SystemExit(2)


def main(record_path, case):
    """Runs `case(record, tmp)` and exits with its result."""
    if not BINARY.exists():
        print("build first: the deploy file's build")
        sys.exit(2)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, end_on_signal)
    record = Record(record_path)
    result = 2
    with tempfile.TemporaryDirectory() as tmp:
        loop = asyncio.new_event_loop()
        try:
            result = loop.run_until_complete(
                asyncio.wait_for(case(record, tmp), 110))
        except Exception as error:  # the case could not run
            record.line("error", repr(error))
            print("could not run:", repr(error))
        except SystemExit:
            record.line("ended by a signal")
        finally:
            end_processes()
        record.file.close()
        sys.stdout.flush()
    # Tasks of the stand-ins may still wait; they end with the process.
    os._exit(result)
