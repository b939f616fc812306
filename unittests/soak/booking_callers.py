"""Callers of booking routes: they keep connections open, send requests in
pieces, pipeline, stop half-way, leave, and retry once after a promise.

Appends one JSON object for each attempt to ATTEMPTS_FILE.

usage: booking_callers.py ATTEMPTS_FILE SEED COUNT PER_SECOND PORT...

Ends after SIGTERM, once every request in progress has ended."""
import asyncio
import contextlib
import json
import random
import signal
import socket
import sys
import time

ATTEMPTS_FILE, SEED = sys.argv[1:3]
COUNT, PER_SECOND, *PORTS = map(int, sys.argv[3:])
TIME_LEFT_S = 0.6
#: Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
#: Ways to send a request, and their weights.
WAYS = {"whole": 10, "pieces": 3, "chunked": 3, "pipelined": 3, "half": 1,
        "stall": 1, "leave": 1, "long": 2}
stopping = asyncio.Event()


class Connection:
    """A connection to a router and what was received on it."""

    def __init__(self, port, reader, writer):
        self.port, self.reader, self.writer = port, reader, writer
        self.exchange = 0
        self.received = b""
        self.has_received = False

    @classmethod
    async def open(cls, port):
        return cls(port, *await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", port), 1))

    def close(self, reset=False):
        if reset and not self.writer.is_closing():
            self.writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.writer.transport.abort() if reset else self.writer.close()

    async def receive(self):
        data = await self.reader.read(65536)
        if not data:
            raise EOFError
        self.received += data
        self.has_received = True

    async def read_until(self, mark):
        while mark not in self.received:
            await self.receive()
        part, _, self.received = self.received.partition(mark)
        return part

    async def read_exactly(self, size):
        while len(self.received) < size:
            await self.receive()
        part, self.received = self.received[:size], self.received[size:]
        return part

    async def read_response(self):
        """Returns the status, the fields and the body of a response."""
        while True:
            head = await self.read_until(b"\r\n\r\n")
            line, *lines = head.decode("latin-1").split("\r\n")
            status = int(line.split()[1])
            if status >= 200:
                break
        fields = {name.lower(): value.strip() for name, _, value in
                  (line.partition(":") for line in lines)}
        body = b""
        if fields.get("transfer-encoding") == "chunked":
            size = -1
            while size:
                size = int(await self.read_until(b"\r\n"), 16)
                body += await self.read_exactly(size)
                await self.read_exactly(2)
        else:
            body = await self.read_exactly(int(fields["content-length"]))
        return status, fields, body


class Caller:
    """Sends one job after the other, each with at most one retry."""

    def __init__(self, number, attempts_file):
        self.random = random.Random(f"{SEED}-{number}")
        self.number = number
        self.file = attempts_file
        self.attempts = 0
        self.connection = None

    def make_request(self, way, path):
        """Returns the id and the parts of a request, as they are sent."""
        self.attempts += 1
        request_id = f"{self.number}-{self.attempts}"
        size = 200
        if way == "long":
            size = self.random.choice((20_000, 200_000, 900_000))
        if path.startswith("/safe"):
            size = 0
        coding = ("Transfer-Encoding: chunked" if way == "chunked"
                  else f"Content-Length: {size}")
        head = (f"{'POST' if size else 'GET'} {path} HTTP/1.1\r\n"
                "Host: soak.example\r\nApi-Key: key\r\n"
                f"X-Request-Id: {request_id}\r\n{coding}\r\n"
                f"X-Deadline-Ms: {TIME_LEFT_S * 1000:.0f}\r\n\r\n").encode()
        if way == "chunked":
            chunk = b"%x\r\n%s\r\n" % (50, b"x" * 50)
            return request_id, [head[:-1], head[-1:], chunk, chunk[:5],
                                chunk[5:], b"0\r\n", b"\r\n"]
        data = head + b"x" * size
        if way in ("half", "stall"):
            cut = self.random.randrange(1, len(data))
            return request_id, [data[:cut], data[cut:]][:1 + (way == "stall")]
        if way != "pieces":
            return request_id, [data]
        cuts = sorted(self.random.sample(range(1, len(data)), 12))
        return request_id, [data[start:end] for start, end in
                            zip([0, *cuts], [*cuts, len(data)])]

    async def send(self, connection, way, parts):
        pause_s = self.random.choice((0, 0.003, 0.02))
        if way == "stall":
            pause_s = self.random.uniform(0.2, 1.5)
        try:
            for index, part in enumerate(parts):
                if index and pause_s:
                    await asyncio.sleep(pause_s)
                connection.writer.write(part)
                await connection.writer.drain()
        except OSError:
            pass  # the reader sees how the connection ended

    async def receive(self, way):
        """Returns how a request ended, and its status if it has one."""
        timeout = TIME_LEFT_S + 0.4
        if way == "leave":
            timeout = self.random.uniform(0, TIME_LEFT_S)
        elif way in ("half", "stall"):
            timeout = self.random.uniform(0.5, 3)
        connection = self.connection
        connection.has_received = bool(connection.received)
        try:
            status, fields, body = await asyncio.wait_for(
                connection.read_response(), timeout)
            if fields.get("connection") == "close":
                self.connection = None
            return "answered", status, fields, body
        except asyncio.TimeoutError:
            self.connection = None
            connection.close(reset=self.random.random() < 0.5)
            return "left", None, {}, b""
        except (ValueError, KeyError) as error:
            self.connection = None
            return f"malformed: {error}", None, {}, b""
        except (OSError, EOFError) as error:
            self.connection = None
            ended = "closed" if isinstance(error, EOFError) else "reset"
            return (f"{ended}_in_response" if connection.has_received
                    else ended), None, {}, b""

    def record(self, request_id, job, kind, way, sent_at, connection, result):
        ended, status, fields, body = result
        json.dump({"id": request_id, "job": job, "kind": kind, "way": way,
                   "sent": sent_at, "ended": ended, "status": status,
                   "answered": time.time(), "port": connection.port,
                   "exchange": connection.exchange,
                   "unsuited": status == 200 and
                   (not fields.get("x-server-stamp", "").endswith(
                       "." + request_id) or request_id.encode() not in body)},
                  self.file)
        self.file.write("\n")

    async def attempt(self, job, kind):
        """Returns the seconds to wait before a retry, or None for none."""
        way = self.random.choices(list(WAYS), WAYS.values())[0]
        path = f"/{kind}/{self.random.randrange(1000)}"
        requests = [self.make_request(way, path)]
        if way == "pipelined":
            requests.append(self.make_request(way, path))
        connection = self.connection
        if connection is None:
            try:
                connection = self.connection = await Connection.open(
                    self.random.choice(PORTS))
            except (OSError, asyncio.TimeoutError):
                return 0
        sent_at = time.time()
        sending = asyncio.ensure_future(self.send(
            connection, way, [part for _, parts in requests for part in parts]))
        wait_s = None
        for index, (request_id, _) in enumerate(requests):
            connection.exchange += 1
            result = (await self.receive(way) if self.connection
                      else ("reset_behind_other", None, {}, b""))
            if result[0] == "reset" and index + 1 < len(requests):
                # The bytes that were not read may be those of the next one.
                result = ("reset_before_other", *result[1:])
            job_id = job if index == 0 else f"{request_id}+"
            self.record(request_id, job_id, kind, way, sent_at, connection,
                        result)
            if index == 0:
                wait_s = self.time_to_retry(result)
        if self.random.random() < 0.3:
            # Goes on sending after the response.
            await asyncio.wait([sending], timeout=2)
        if not sending.done():
            self.connection = None
        sending.cancel()
        if not self.connection:
            connection.close()
        return wait_s

    @staticmethod
    def time_to_retry(result):
        ended, status, fields, _ = result
        if ended == "reset":
            return 0
        if status not in NOT_RUN_STATUSES:
            return None
        return min(float(fields.get("retry-after", 0)), TIME_LEFT_S / 3)

    async def run(self):
        job = 0
        while not stopping.is_set():
            job += 1
            kind = self.random.choices(("unsafe", "safe", "stream"),
                                       (6, 2, 1))[0]
            for _ in range(2):
                wait_s = await self.attempt(f"{self.number}/{job}", kind)
                if wait_s is None:
                    break
                await asyncio.sleep(wait_s)
                if self.connection:
                    self.connection.close()
                    self.connection = None
            if self.connection and self.random.random() < 0.02:
                self.connection.close()
                self.connection = None
            pause_s = self.random.uniform(0, 2 * COUNT / PER_SECOND)
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(stopping.wait(), pause_s)
        if self.connection:
            self.connection.close()


async def main():
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    with open(ATTEMPTS_FILE, "a", encoding="utf-8", buffering=1) as file:
        await asyncio.gather(*(Caller(f"{SEED}.{number}", file).run()
                               for number in range(COUNT)))


asyncio.run(main())
