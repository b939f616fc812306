"""Real processes on loopback: routers, stand-ins, and faults by pid."""

import json
import os
import signal
import sys
import tempfile
import threading
import time
import unittest

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "utils"))

import fleet as fleets  # noqa: E402


def contents(text):
    """Returns the words of a streamed answer, in order."""
    words = []
    for line in text.splitlines():
        if line.startswith("data: {"):
            event = json.loads(line[len("data: "):])
            if "choices" in event:
                words.append(event["choices"][0]["delta"]["content"])
    return words


def problem(text):
    return json.loads(text)


class FleetTest(unittest.TestCase):
    """Starts a fleet for each test and ends it by pid."""

    engine_args = ("--token-ms", "20")
    router_args = ()

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = fleets.Fleet(self.folder.name, engines=6,
                                  engine_args=self.engine_args)
        self.addCleanup(self.folder.cleanup)
        self.addCleanup(self.fleet.stop)
        self.fleet.begin(*self.router_args)

    def stats(self, port):
        return json.loads(
            fleets.call(f"http://127.0.0.1:{port}/standin/stats")[2])

    def start_chats(self, count, tokens):
        """Starts streams on all routers; returns threads and results."""
        results = {}

        def run(number):
            try:
                results[number] = self.fleet.chat(
                    number % 3, f"chat-{number}", text=f"question {number}",
                    max_tokens=tokens, timeout=60)
            except OSError as error:
                results[number] = (0, {}, str(error))

        threads = [threading.Thread(target=run, args=(number,))
                   for number in range(count)]
        for thread in threads:
            thread.start()
        return threads, results

    def assert_whole(self, results, count, tokens):
        """Each answer is complete, once, in order, and its own."""
        self.assertEqual(len(results), count)
        for number, (status, _, text) in results.items():
            self.assertEqual(status, 200, text)
            self.assertTrue(text.rstrip().endswith("data: [DONE]"), text)
            again = self.fleet.chat(number % 3, f"chat-{number}",
                                    text=f"question {number}",
                                    max_tokens=tokens)[2]
            self.assertEqual(contents(text), contents(again))
            self.assertEqual(len(contents(text)), tokens)


class ShutdownTest(FleetTest):
    def test_a_planned_stop_cuts_nothing(self):
        threads, results = self.start_chats(6, 60)
        time.sleep(0.5)
        self.fleet.signal("router-1", signal.SIGTERM)
        time.sleep(0.3)
        status, _, text = self.fleet.chat(1, "late")
        self.assertEqual(status, 503)
        self.assertEqual(problem(text)["kind"], "leaving")
        self.assertEqual(problem(text)["executed"], "no")
        for thread in threads:
            thread.join()
        self.assertEqual(
            self.fleet.processes["router-1"].wait(timeout=30), 0)
        self.fleet.start_router(1)
        self.fleet.wait_ready([1])
        self.assert_whole(results, 6, 60)


class BrokenStreamTest(FleetTest):
    def test_streams_are_resumed_when_an_engine_ends(self):
        threads, results = self.start_chats(12, 60)
        time.sleep(0.6)
        busy = [index for index, port in enumerate(self.fleet.engine_ports)
                if self.stats(port)["running"] > 0]
        self.fleet.signal(f"engine-{busy[0]}", signal.SIGKILL)
        for thread in threads:
            thread.join()
        self.assert_whole(results, 12, 60)


class SilentConnectionTest(FleetTest):
    router_args = ("--progress-timeout", "0.7")

    def test_streams_are_resumed_when_connections_go_silent(self):
        threads, results = self.start_chats(12, 60)
        time.sleep(0.6)
        for port in self.fleet.engine_ports:
            fleets.call(f"http://127.0.0.1:{port}/standin/faults", "POST",
                        {"silent": True})
        for thread in threads:
            thread.join()
        self.assert_whole(results, 12, 60)


class CrashingRequestTest(FleetTest):
    def test_a_crashing_request_is_quarantined(self):
        for number in range(4):
            status, _, text = self.fleet.chat(
                number % 3, "poison", text="crash-engine now", timeout=60)
            self.assertNotEqual(status, 200)
            if problem(text)["kind"] == "quarantined":
                break
        self.assertEqual(problem(text)["kind"], "quarantined")
        crashed = [name for name, process in self.fleet.processes.items()
                   if name.startswith("engine") and
                   process.poll() is not None]
        self.assertLessEqual(len(crashed), 2)
        self.assertEqual(self.fleet.chat(0, "other")[0], 200)


class DataCentreTest(FleetTest):
    def test_a_departed_data_centre_gets_no_new_work(self):
        threads, results = self.start_chats(12, 100)
        time.sleep(0.5)
        self.fleet.ctl("data-centre", "out", "fyn-a", "--wait")
        time.sleep(1)
        gone = [port for index, port in enumerate(self.fleet.engine_ports)
                if index % 3 == 0]
        before = [self.stats(port)["served"] + self.stats(port)["running"]
                  for port in gone]
        for number in range(20):
            status, headers, _ = self.fleet.chat(number % 3, f"new-{number}",
                                                 max_tokens=2)
            self.assertEqual(status, 200)
        after = [self.stats(port)["served"] + self.stats(port)["running"]
                 for port in gone]
        self.assertEqual(before, after)
        for thread in threads:
            thread.join()
        self.assert_whole(results, 12, 100)
        self.fleet.ctl("data-centre", "in", "fyn-a", "--wait")


class OutageTest(FleetTest):
    def faults(self, **values):
        fleets.call(self.fleet.kv_url + "/standin/faults", "POST", values)

    def test_chats_go_on_and_bookings_are_refused_truthfully(self):
        done = fleets.new_key()
        self.assertEqual(self.fleet.book(0, done)[0], 200)
        self.faults(outage=True)
        self.assertEqual(self.fleet.chat(0, "during")[0], 200)
        key = fleets.new_key()
        status, _, text = self.fleet.book(0, key, 1500, {"X-Attempt": "1"})
        self.assertEqual(status, 503)
        self.assertEqual(problem(text)["kind"], "ledger_unavailable")
        self.assertEqual(problem(text)["executed"], "no")
        status, _, text = self.fleet.book(1, fleets.new_key(), 1500)
        self.assertEqual(problem(text)["executed"], "unknown")
        self.assertNotIn(key, self.fleet.executions())
        self.faults(outage=False)
        time.sleep(2)
        self.assertEqual(self.fleet.book(2, key)[0], 200)
        self.assertEqual(self.fleet.executions()[key], 1)

    def test_a_router_starts_while_the_service_is_down(self):
        self.faults(outage=True)
        self.fleet.signal("router-2", signal.SIGKILL)
        self.fleet.processes["router-2"].wait()
        self.fleet.start_router(2)
        self.fleet.wait_ready([2])
        self.assertEqual(self.fleet.chat(2, "fresh")[0], 200)


class BookingStormTest(FleetTest):
    def test_no_booking_runs_twice_and_no_refusal_lies(self):
        fleets.call(self.fleet.kv_url + "/standin/faults", "POST",
                    {"lost_answers": 0.2})
        keys = [fleets.new_key() for _ in range(60)]
        lies = []
        answered = set()
        lock = threading.Lock()

        def book(key, order):
            for attempt, router in enumerate(order):
                try:
                    status, _, text = self.fleet.book(
                        router, key, 3000,
                        {"X-Attempt": str(attempt + 1)}, timeout=8)
                except OSError:
                    continue
                if status == 200:
                    with lock:
                        answered.add(key)
                    return
                if problem(text).get("executed") == "no":
                    ran = self.fleet.executions().get(key, 0)
                    if ran:
                        with lock:
                            lies.append((key, text))

        def disturb():
            for index in range(3):
                name = f"router-{index}"
                self.fleet.signal(name, signal.SIGSTOP)
                time.sleep(1)
                self.fleet.signal(name, signal.SIGCONT)
                time.sleep(0.5)
            self.fleet.signal("router-0", signal.SIGKILL)
            self.fleet.processes["router-0"].wait()
            self.fleet.start_router(0)
            fleets.call(self.fleet.kv_url + "/standin/faults", "POST",
                        {"outage": True})
            time.sleep(1.5)
            fleets.call(self.fleet.kv_url + "/standin/faults", "POST",
                        {"outage": False})

        faults = threading.Thread(target=disturb)
        faults.start()
        threads = []
        for number, key in enumerate(keys):
            order = [(number + step) % 3 for step in range(5)]
            threads.append(threading.Thread(target=book, args=(key, order)))
            threads[-1].start()
            time.sleep(0.1)
        for thread in threads:
            thread.join()
        faults.join()
        ran = self.fleet.executions()
        self.assertEqual([key for key in keys if ran.get(key, 0) > 1], [])
        self.assertEqual(lies, [])
        for key in answered:
            self.assertEqual(ran.get(key), 1)
        self.assertGreater(len(answered), len(keys) // 2)


class BadInputTest(FleetTest):
    def test_each_kind_of_bad_input_has_its_own_error(self):
        url = self.fleet.router_url(0)
        cases = [
            ("/v1/chat/completions", {}, "bad_request"),
            ("/v1/chat/completions", {"model": "none"}, "unknown_model"),
            ("/services/none/x", {}, "unknown_service"),
            ("/nowhere", {}, "unknown_path"),
            ("/services/pass-app/bookings", {}, "key_required"),
            ("/services/pass-app/bookings/", {}, "key_required"),
        ]
        for path, body, kind in cases:
            status, headers, text = fleets.call(url + path, "POST", body)
            self.assertGreaterEqual(status, 400)
            self.assertEqual(problem(text)["kind"], kind)
            self.assertEqual(headers["Content-Type"],
                             "application/problem+json")
        big = {"model": "frugt-lm", "messages": "x" * 5_000_000}
        try:
            status, _, _ = fleets.call(url + "/v1/chat/completions", "POST",
                                       big)
            self.assertEqual(status, 413)
        except OSError:
            pass  # The router closed the connection while the body came.
        self.assertEqual(self.fleet.executions(), {})
        self.assertEqual(self.fleet.chat(0, "still works")[0], 200)

    def test_operators_racing_for_the_preset_leave_one_winner(self):
        path = self.fleet.preset("peak")
        codes = []
        threads = [
            threading.Thread(target=lambda: codes.append(self.fleet.ctl(
                "preset", "activate", path, check=False).returncode))
            for _ in range(6)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        history = json.loads(self.fleet.ctl(
            "--output", "json", "preset", "history").stdout)
        numbers = [item["generation"] for item in history]
        self.assertEqual(numbers, list(range(1, len(numbers) + 1)))
        self.assertEqual(len(numbers), 1 + codes.count(0))
        self.assertTrue(all(code in (0, 4) for code in codes), codes)
        self.fleet.ctl("data-centre", "out", "fyn-b", "--wait")


if __name__ == "__main__":
    unittest.main()
