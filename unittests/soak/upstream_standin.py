"""Stand-in upstream: records each run in a file before it sends a response.

Refuses 2 % of the requests without running them, closes 2 % of the connections
after the run, and breaks a stream with a probability of 0.4 % at each event.

usage: upstream_standin.py PORT ID RUNS_FILE SEED"""
import os
import random
import sys
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

PORT, ID, RUNS_FILE, SEED = (int(sys.argv[1]), sys.argv[2], sys.argv[3],
                             int(sys.argv[4]))
random.seed(SEED)
runs_fd = os.open(RUNS_FILE, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
STREAM_EVENTS = 12


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def _send_headers(self, status, fields):
        self.send_response(status)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        for name, value in fields.items():
            self.send_header(name, value)
        self.end_headers()

    def _handle_request(self):
        size = int(self.headers.get("Content-Length", 0))
        self.rfile.read(size)
        if self.headers.get("X-Expect-Instance") != ID:
            self._send_headers(421, {"X-Instance": ID, "Content-Length": "0"})
            return
        if random.random() < 0.02:
            self._send_headers(503, {"X-Not-Run": "1", "Content-Length": "0"})
            return
        request_id = self.headers["X-Request-Id"]
        record = (f"{time.time():.6f} {request_id} "
                  f"{self.headers.get('X-Tenant')}")
        os.write(runs_fd, (record + f" {ID}\n").encode())
        time.sleep(random.uniform(0.002, 0.03))
        if random.random() < 0.02:
            self.connection.close()
            return
        if "/stream/" in self.path:
            self._stream(request_id)
            return
        body = f"answer to {request_id}".encode()
        self._send_headers(200, {"X-Server-Stamp": f"{ID}.{request_id}",
                         "Content-Length": str(len(body)),
                         "Keep-Alive": "timeout=4"})
        self.wfile.write(body)

    def _stream(self, request_id):
        first = int(self.headers.get("Last-Event-Id", 0)) + 1
        self._send_headers(200, {"X-Server-Stamp": f"{ID}.{request_id}",
                         "Content-Type": "text/event-stream",
                         "Transfer-Encoding": "chunked"})
        for number in range(first, STREAM_EVENTS + 1):
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            if random.random() < 0.004:
                self.wfile.write(b"%x\r\n%s" % (len(event), event[:5]))
                self.connection.close()
                return
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            self.wfile.flush()
            time.sleep(0.01)
        self.wfile.write(b"0\r\n\r\n")

    do_GET = _handle_request
    do_POST = _handle_request

    def log_message(self, *_):
        pass


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *_):
        pass  # the soak breaks connections on purpose


Server(("127.0.0.1", PORT), Handler).serve_forever()
