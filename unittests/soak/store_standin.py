"""In-memory stand-in for the platform's store: keys with revisions, watches,
transactions and leases, served over HTTP."""
import base64
import json
import threading
import time
import urllib.parse
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Store:
    """Keys and the history of their changes.

    Public methods are thread-safe. get(), post() and delete() return an HTTP
    status and a JSON value.
    """

    def __init__(self):
        self._changed = threading.Condition()
        self._items = {}
        self._history = []
        self._leases = {}
        self._revision = 1
        self._next_lease = 1

    def write(self, key, value, lease=0):
        with self._changed:
            self._put(key, value, lease)

    def remove(self, key):
        with self._changed:
            self._remove(key)

    def compact_history(self):
        """Discards the history; watches from an older revision then fail."""
        with self._changed:
            self._history.clear()
            self._compacted_revision = self._revision

    _compacted_revision = 0

    def _put(self, key, value, lease):
        self._revision += 1
        item = {"key": key, "value": base64.b64encode(value.encode()).decode(),
                "rev": self._revision, "createRevision": self._revision,
                "lease": lease}
        self._items[key] = item
        self._history.append(item)
        self._changed.notify_all()

    def _remove(self, key):
        if self._items.pop(key, None) is None:
            return
        self._revision += 1
        self._history.append({"key": key, "rev": self._revision,
                              "deleted": True})
        self._changed.notify_all()

    def expire_leases(self):
        with self._changed:
            now = time.monotonic()
            expired = [lease for lease, (deadline, _) in self._leases.items()
                       if deadline < now]
            for lease in expired:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key in [key for key, item in self._items.items()
                    if item["lease"] == lease]:
            self._remove(key)

    def get(self, path, query):
        if path == "/api/kv-range":
            with self._changed:
                return 200, {"entries": [item for key, item in
                                         sorted(self._items.items())
                                         if key.startswith(query["prefix"])],
                             "morePages": False, "asOf": self._revision}
        if path == "/api/kv-key":
            with self._changed:
                item = self._items.get(query["key"])
                return (200, {**item, "asOf": self._revision}) if item else (
                    404, {})
        if path == "/api/kv-watch":
            return self._watch(int(query["after"]), int(query["waitMs"]))
        return 404, {}

    def _watch(self, after, wait_ms):
        deadline = time.monotonic() + wait_ms / 1000
        with self._changed:
            while True:
                # The history may also be lost while the call waits.
                if after < self._compacted_revision:
                    return 410, {}
                events = [item for item in self._history
                          if item["rev"] > after]
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0:
                    return 200, {"events": events, "asOf": self._revision}
                self._changed.wait(remaining_s)

    def post(self, path, body):
        with self._changed:
            if path == "/api/kv-txn":
                return self._commit(body)
            if path == "/api/kv-lease":
                lease = self._next_lease
                self._next_lease += 1
                ttl_ms = body["ttlMs"]
                self._leases[lease] = (time.monotonic() + ttl_ms / 1000,
                                       ttl_ms)
                return 200, {"lease": lease, "ttlMs": ttl_ms}
            if path.startswith("/api/kv-keep/"):
                lease = int(path.rsplit("/", 1)[1])
                if lease not in self._leases:
                    return 404, {}
                ttl_ms = self._leases[lease][1]
                self._leases[lease] = (time.monotonic() + ttl_ms / 1000,
                                       ttl_ms)
                return 200, {"ttlMs": ttl_ms}
        return 404, {}

    def _commit(self, body):
        for row in body["expectRev"]:
            current = self._items.get(row["key"], {"rev": 0})
            if current["rev"] != row["rev"]:
                return 412, {"entries": []}
        for row in body["writes"]:
            lease = row.get("lease", 0)
            if lease and lease not in self._leases:
                return 404, {}
            value = base64.b64decode(row["value"]).decode("latin-1")
            self._put(row["key"], value, lease)
            # Keeps the value as received: _put() encodes it as UTF-8.
            self._items[row["key"]]["value"] = row["value"]
        for key in body["remove"]:
            self._remove(key)
        return 200, {"rev": self._revision}

    def delete(self, path):
        with self._changed:
            self._end_lease(int(path.rsplit("/", 1)[1]))
        return 200, {}


def serve(store, port):
    """Serves `store` on loopback from a background thread."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def _respond(self, status, value):
            body = json.dumps(value).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def do_GET(self):
            url = urllib.parse.urlsplit(self.path)
            query = dict(urllib.parse.parse_qsl(url.query, True))
            self._respond(*store.get(url.path, query))

        def do_POST(self):
            size = int(self.headers.get("Content-Length", 0))
            body = json.loads(self.rfile.read(size) or b"{}")
            self._respond(*store.post(self.path, body))

        def do_DELETE(self):
            self._respond(*store.delete(self.path))

        def log_message(self, *_):
            pass

    class Server(ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 128

        def handle_error(self, *_):
            pass  # the soak breaks connections on purpose

    server = Server(("127.0.0.1", port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
