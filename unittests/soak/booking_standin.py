"""Stand-in for a booking upstream that fails in many ways.

Serves SLOTS requests at once, queues a few more and refuses the others with
X-Not-Run. A request that gets a slot has run; its event is "ran:KIND". Before
each step it appends to EVENTS_FILE:

TIME UPSTREAM CONNECTION.EXCHANGE REQUEST_ID EVENT

usage: booking_standin.py PORT ID EVENTS_FILE SEED"""
import asyncio
import os
import random
import socket
import sys
import time

PORT, ID, EVENTS_FILE, SEED = (int(sys.argv[1]), sys.argv[2], sys.argv[3],
                               sys.argv[4])
SLOTS = 6
SHARED_CONNECTIONS = 400
#: Faults before a request runs.
DECLINES = ("decline", "decline_copy", "decline_bare_copy", "reset_unrun",
            "close_unrun")
#: Faults of a request that runs.
RUN_FAULTS = ("copy", "bare_copy", "extra", "truncate", "no_length",
              "reset_run", "close_run", "slow", "mute", "error", "bare_503",
              "interim")
events_fd = os.open(EVENTS_FILE, os.O_WRONLY | os.O_APPEND | os.O_CREAT)


class Connection:
    """One connection of a router; serves one request at a time."""
    numbers = iter(range(1, 1 << 60))

    def __init__(self, server, reader, writer):
        self.server = server
        self.random = server.random
        self.reader, self.writer = reader, writer
        self.number = next(Connection.numbers)
        self.exchange = 0
        #: Late copy that is sent once the next request has arrived.
        self.copy = b""

    def log(self, request_id, event):
        line = (f"{time.time():.6f} {ID} {self.number}.{self.exchange} "
                f"{request_id} {event}\n")
        os.write(events_fd, line.encode())

    def is_closed(self):
        return (self.reader.at_eof() or self.reader.exception() is not None
                or self.writer.is_closing())

    def reset(self):
        self.writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.writer.transport.abort()

    def send(self, data):
        if not self.writer.is_closing():
            self.writer.write(data)

    def send_later(self, seconds, data):
        asyncio.get_running_loop().call_later(seconds, self.send, data)

    def respond(self, status, request_id, fields="", body=b"", length=None):
        """Sends a response and returns its bytes."""
        if request_id is not None:
            fields += f"X-Request-Id: {request_id}\r\n"
        if length is None:
            length = len(body)
        if length >= 0:
            fields += f"Content-Length: {length}\r\n"
        self.closes = length < 0 or self.random.random() < 0.03
        fields += ("Connection: close\r\n" if self.closes else
                   f"Keep-Alive: timeout={self.server.idle_s}\r\n")
        data = f"HTTP/1.1 {status} X\r\n{fields}\r\n".encode() + body
        self.send(data)
        return data

    def send_copy(self, data, request_id, has_id):
        """Sends a late copy of a response at a random moment."""
        if not has_id:
            data = data.replace(f"X-Request-Id: {request_id}\r\n".encode(),
                                b"")
        self.log(request_id, "copy" if has_id else "bare_copy")
        if self.random.random() < 0.5:
            self.copy = data
        else:
            self.send_later(self.random.choice((0, 0.002, 0.02, 0.1)), data)

    def decline(self, request_id, reason, fault="none", status=503):
        self.log(request_id, f"declined:{reason}")
        data = self.respond(status, request_id, "X-Not-Run: 1\r\n", b"full")
        if fault.endswith("copy"):
            self.send_copy(data, request_id, "bare" not in fault)

    async def serve(self):
        while not self.is_closed():
            # Some idle connections are closed sooner than announced.
            idle_s = self.server.idle_s * self.random.choice((0.3, 0.9, 1, 1))
            try:
                head = await asyncio.wait_for(
                    self.reader.readuntil(b"\r\n\r\n"), idle_s)
            except asyncio.TimeoutError:
                return
            self.exchange += 1
            copy, self.copy = self.copy, b""
            if copy:
                self.send_later(self.random.choice((0, 0, 0.003)), copy)
                await asyncio.sleep(0.001)
            self.closes = False
            if not await self.handle_request(head.decode("latin-1")):
                return
            if self.closes:
                return

    async def handle_request(self, head):
        """Returns whether the connection can carry another request."""
        request_line, *lines = head.split("\r\n")
        path = request_line.split()[1]
        fields = {name.lower(): value.strip() for name, _, value in
                  (line.partition(":") for line in lines if line)}
        request_id = fields.get("x-request-id", "none")
        size = int(fields.get("content-length", 0))
        if not path.startswith(("/safe", "/unsafe", "/stream")):
            self.respond(200 if path == "/healthz" else 404, None,
                         f"X-Instance: {ID}\r\n")
            return True
        self.log(request_id, "arrived")
        fault = self.server.choose_fault()
        if size > 10_000 and fault in DECLINES:
            # Refused before the body has arrived.
            self.decline(request_id, "early", fault)
            await self.reader.readexactly(size)
            return True
        await self.reader.readexactly(size)
        if fields.get("x-expect-instance") != ID:
            self.decline(request_id, "misdirected", status=421)
            return True
        if fault in ("reset_unrun", "close_unrun"):
            self.log(request_id, fault)
            if fault == "reset_unrun":
                self.reset()
            return False
        if fault in DECLINES:
            self.decline(request_id, "fault", fault,
                         self.random.choice((429, 503)))
            return True
        return await self.run_in_slot(
            path, request_id, fault,
            time.monotonic() + int(fields.get("x-deadline-ms", 600)) / 1000)

    async def run_in_slot(self, path, request_id, fault, deadline):
        server = self.server
        if server.waiting >= server.queue_limit and server.slots.locked():
            self.decline(request_id, "full",
                         self.random.choice(("none", "decline_copy")))
            return True
        server.waiting += 1
        try:
            async with asyncio.timeout(max(0, deadline - time.monotonic())):
                await server.slots.acquire()
        except TimeoutError:
            self.decline(request_id, "queued_too_long")
            return True
        finally:
            server.waiting -= 1
        try:
            if self.is_closed():
                self.log(request_id, "dropped")
                return False
            self.log(request_id, "ran:" + path.split("/")[1])
            await self.work(fault, deadline)
            return await self.send_result(path, request_id, fault)
        finally:
            server.slots.release()

    async def work(self, fault, deadline):
        end = time.monotonic() + self.random.uniform(0.5, 1.5) * (
            self.server.work_s)
        if fault in ("slow", "mute"):
            end = deadline + (0.1 if fault == "slow" else 1)
        while time.monotonic() < end and not self.is_closed():
            await asyncio.sleep(min(0.02, max(0, end - time.monotonic())))

    async def send_result(self, path, request_id, fault):
        self.log(request_id, f"answers:{fault}")
        fields = f"X-Server-Stamp: {ID}.{request_id}\r\n"
        body = f"answer to {request_id}".encode()
        if fault in ("reset_run", "close_run", "mute"):
            if fault == "reset_run":
                self.reset()
            return False
        if fault == "interim":
            self.send(b"HTTP/1.1 103 Early Hints\r\n\r\n")
        if path.startswith("/stream"):
            await self.send_events(fields, request_id, fault)
            return False
        if fault in ("error", "bare_503"):
            self.respond(500 if fault == "error" else 503, request_id)
            return True
        length = {"truncate": len(body) + 10, "no_length": -1}.get(fault)
        data = self.respond(200, request_id, fields, body, length)
        if fault == "truncate":
            return False
        if fault.endswith("copy"):
            self.send_copy(data, request_id, fault == "copy")
        if fault == "extra":
            self.send_later(self.random.choice((0, 0.01)),
                            self.random.randbytes(30))
        return True

    async def send_events(self, fields, request_id, fault):
        self.respond(200, request_id, fields +
                     "Content-Type: text/event-stream\r\n", length=-1)
        for number in range(1, 5):
            self.send(f"id: {number}\ndata: {request_id}\n\n".encode())
            await asyncio.sleep(0.01)
            if fault == "truncate":
                self.reset()
                return


class Server:
    """Slots, queue and faults of one upstream process."""

    def __init__(self):
        self.random = random.Random(SEED)
        self.fault_share = self.random.choice((0.03, 0.1, 0.3))
        self.work_s = self.random.uniform(0.03, 0.15)
        self.queue_limit = self.random.choice((2, 8, 24))
        self.idle_s = self.random.choice((1, 2, 4))
        self.max_connections = self.random.choice((30, SHARED_CONNECTIONS))
        self.connections = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(SLOTS)

    def choose_fault(self):
        if self.random.random() >= self.fault_share:
            return "none"
        return self.random.choice(DECLINES * 2 + RUN_FAULTS)

    async def serve(self, reader, writer):
        connection = Connection(self, reader, writer)
        self.connections += 1
        try:
            if self.connections > self.max_connections:
                connection.reset()
            else:
                await connection.serve()
        except (OSError, asyncio.IncompleteReadError):
            pass  # the router closed the connection
        finally:
            self.connections -= 1
            writer.close()


async def main():
    server = await asyncio.start_server(Server().serve, "127.0.0.1", PORT,
                                        backlog=512, limit=2 << 20)
    await server.serve_forever()


asyncio.run(main())
