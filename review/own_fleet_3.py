"""Starts routers of the product's own interface with the command of the deploy
file, and stand-ins for what stands around them."""
import asyncio
import contextlib
import json
import os
import pathlib
import time
import uuid

import standins_3
from kv_service_3 import KeyValueService
from standins_3 import ROOT, free_ports, read_body, read_head, start_process

DATA_CENTRES = ["fyn-a", "fyn-b", "fyn-c"]


class HttpServer:
    """Calls `handle(words of the first line, fields, body, writer)`."""

    def __init__(self, handle):
        self.handle = handle

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def serve(self, reader, writer):
        try:
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self.handle(first.split(" "), fields, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def respond(writer, value, kind="application/json", fields=()):
    text = value if isinstance(value, bytes) else json.dumps(value).encode()
    lines = ["HTTP/1.1 200 OK", f"Content-Type: {kind}",
             f"Content-Length: {len(text)}", *fields]
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + text)


def echo_id(fields):
    return [f"X-Request-Id: {fields.get('x-request-id', '')}"]


def new_key():
    """Returns a UUID of version 7."""
    value = (int(time.time() * 1000) << 80) | int.from_bytes(os.urandom(10), "big")
    value = value & ~(0xF << 76) | (0x7 << 76)
    return str(uuid.UUID(int=value & ~(0x3 << 62) | (0x2 << 62)))


@contextlib.asynccontextmanager
async def own_fleet(tmp, engines, services):
    """Starts three routers with the example preset; `engines` and `services` are
    the handlers of its upstreams. Gives the routers' ports and processes."""
    count = len(DATA_CENTRES)
    kv_port, hosts_port, *ports = free_ports(
        2 + 2 * count + len(engines) + len(services))
    front, control, ports = (ports[:count], ports[count:2 * count],
                             ports[2 * count:])
    KeyValueService(kv_port)

    async def list_no_hosts(_line, _fields, _body, writer):
        respond(writer, {"hosts": []})
    for handle, port in zip([list_no_hosts, *engines, *services],
                            [hosts_port, *ports]):
        await HttpServer(handle).start(port)
    preset = json.loads(
        (ROOT / "examples/blommedal/ordinary-day.json").read_text())
    for service, listed in zip(preset["services"], (ports[:len(engines)],
                                                    ports[len(engines):])):
        service["upstreams"] = service["upstreams"][:len(listed)]
        for port, upstream in zip(listed, service["upstreams"]):
            upstream["address"] = f"127.0.0.1:{port}"
    preset_path = pathlib.Path(tmp) / "preset.json"
    preset_path.write_text(json.dumps(preset))
    processes = []
    peers = ",".join(f"127.0.0.1:{port}" for port in control)
    for index, data_centre in enumerate(DATA_CENTRES):
        settings = pathlib.Path(tmp) / f"router-{index}.settings"
        settings.write_text(
            "[baobabd]\n"
            f"listen=127.0.0.1:{front[index]}\n"
            f"control-listen=127.0.0.1:{control[index]}\n"
            f"data-centre={data_centre}\n"
            f"kv-url=http://127.0.0.1:{kv_port}\n"
            f"host-list-url=http://127.0.0.1:{hosts_port}/hosts\n"
            f"peers={peers}\nfleet-secrets=a-secret-for-the-review\n"
            f"shutdown-timeout={standins_3.BOUNDS['graceS']}\n")
        log = open(pathlib.Path(tmp) / f"router-{index}.log", "ab")
        processes.append(await start_process(
            str(standins_3.BINARY), "--settings-file", str(settings),
            stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "HOME": "/tmp",
                 "GSETTINGS_BACKEND": "memory"}))
    try:
        tool = await start_process(
            str(ROOT / "target/tools/baobabctl/baobabctl"), "--kv-url",
            f"http://127.0.0.1:{kv_port}", "--router",
            ",".join(f"http://127.0.0.1:{port}" for port in front),
            "--author", "op", "preset", "activate", str(preset_path),
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL)
        if await asyncio.wait_for(tool.wait(), 30) != 0:
            raise RuntimeError("the preset was not activated")
        yield front, processes
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
