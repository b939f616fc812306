"""Stand-in for the KV service of the own interface (the JSON gateway of etcd v3, as
far as routers use it). It runs in threads of the calling process."""
import base64
import json
import socket
import struct
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


def serve(port, handle):
    """Serves `handle(handler, method, body)` on loopback from threads."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def respond(self, value, status=200, headers=None):
            body = json.dumps(value).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            for name, text in (headers or {}).items():
                self.send_header(name, text)
            self.end_headers()
            self.wfile.write(body)

        def drop(self):
            """Closes the connection without a response."""
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                       struct.pack("ii", 1, 0))
            self.close_connection = True

        def _handle(self):
            size = int(self.headers.get("Content-Length", 0))
            handle(self, self.command, self.rfile.read(size))

        do_GET = do_POST = _handle

        def log_message(self, *_):
            pass

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 256

        def handle_error(self, *_):
            pass  # connections end when routers are killed

    server = Server(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()


def decoded(text):
    return base64.b64decode(text or "")


def encoded(value):
    return base64.b64encode(value).decode()


class KeyValueService:
    """Linearizable; loses nothing that it has acknowledged but in a restore."""

    def __init__(self, port):
        self._changed = threading.Condition()
        self._data = {}  # key: (value, mod, create, version)
        self._revision = 0
        self._away = False
        self._generation = 0
        serve(port, self._handle)

    def copy(self):
        with self._changed:
            return dict(self._data), self._revision

    def leave(self):
        with self._changed:
            self._away = True
            self._generation += 1
            self._changed.notify_all()

    def restore(self, saved=None):
        """Ends the time away, with the contents of a copy if one is given."""
        with self._changed:
            if saved:
                self._data, self._revision = dict(saved[0]), saved[1]
            self._away = False
            self._generation += 1

    def _handle(self, handler, _method, raw):
        body = json.loads(raw or b"{}")
        with self._changed:
            if self._away:
                handler.drop()
                return
            generation = self._generation
        if handler.path == "/v3/watch":
            self._watch(handler, body["create_request"], generation)
            return
        with self._changed:
            if self._away:
                handler.drop()
                return
            if handler.path == "/v3/kv/range":
                value = self._range(body)
            elif handler.path == "/v3/kv/txn":
                value = self._commit(body)
            elif handler.path == "/v3/kv/put":
                self._put(body)
                value = {"header": self._header()}
            else:
                handler.respond({}, 404)
                return
        handler.respond(value)

    def _header(self):
        return {"revision": str(self._revision)}

    def _item(self, key):
        value, mod, create, version = self._data[key]
        return {"key": encoded(key), "value": encoded(value),
                "mod_revision": str(mod), "create_revision": str(create),
                "version": str(version)}

    def _range(self, body):
        first, end = decoded(body.get("key")), decoded(body.get("range_end"))
        limit = int(body.get("limit", 0))
        keys = sorted(k for k in self._data
                      if (k == first if not end else first <= k < end))
        return {"header": self._header(),
                "kvs": [self._item(k) for k in keys[:limit or None]]}

    def _is_met(self, condition):
        value, mod, create, version = self._data.get(
            decoded(condition.get("key")), (b"", 0, 0, 0))
        target = condition.get("target", "VERSION")
        if target == "VALUE":
            return version != 0 and value == decoded(condition.get("value"))
        actual, name = {"MOD": (mod, "mod_revision"),
                        "CREATE": (create, "create_revision"),
                        "VERSION": (version, "version")}[target]
        expected = int(condition.get(name, 0))
        return (actual > expected if condition.get("result") == "GREATER"
                else actual == expected)

    def _commit(self, body):
        succeeded = all(self._is_met(c) for c in body.get("compare", []))
        for operation in body.get("success" if succeeded else "failure", []):
            if "request_put" in operation:
                self._put(operation["request_put"])
            if "request_delete_range" in operation:
                self._delete(operation["request_delete_range"])
        return {"header": self._header(), "succeeded": succeeded}

    def _put(self, body):
        key = decoded(body.get("key"))
        self._revision += 1
        _, _, create, version = self._data.get(key, (b"", 0, 0, 0))
        self._data[key] = (decoded(body.get("value")), self._revision,
                           create or self._revision, version + 1)
        self._changed.notify_all()

    def _delete(self, body):
        self._revision += 1
        first, end = decoded(body.get("key")), decoded(body.get("range_end"))
        for key in [k for k in self._data
                    if (k == first if not end else first <= k < end)]:
            del self._data[key]

    def _watch(self, handler, create, generation):
        key = decoded(create.get("key"))
        after = int(create.get("start_revision", 0)) - 1
        handler.send_response(200)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()

        def line(value):
            text = json.dumps(value).encode() + b"\n"
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(text), text))

        try:
            line({"result": {"created": True}})
            while True:
                with self._changed:
                    if self._generation != generation:
                        handler.drop()
                        return
                    item = self._data.get(key)
                    found = item and item[1] > after
                    if found:
                        after = item[1]
                        value = {"result": {"header": self._header(),
                                            "events": [
                                                {"kv": self._item(key)}]}}
                    else:
                        self._changed.wait(0.5)
                        continue
                line(value)
        except OSError:
            handler.close_connection = True
