"""A router that asks another one for changes keeps servers in use whose
entries were removed shortly before the store forgot its history."""
import asyncio
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standins_2 as standins  # noqa: E402

RECORD = HERE / "record.txt"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SERVERS = 153
LEAVING = 38  # a quarter
SILENT = 8  # of these, servers that never report `draining`
NEW = 12  # servers that start meanwhile
COLD_S = 3.0
DRAIN_S = 4.0  # drainMs of the large site
WINDOW_S = 5.0  # stabilityWindowMs of the large site
LINGER_S = 14.0  # "at times many seconds" after drainMs
REQUESTS_PER_S = 120  # at all routers together
ROUNDS = 3
KEY = "n2ctnfzs989anu6wsjnb"


class Leaver(standins.Server):
    left_at = None
    late = ()

    async def answer(self, first, headers, writer):
        if self.left_at is not None:
            after = self.record.now() - self.left_at
            identity = headers.get("x-request-id", "")
            self.late = (*self.late, (self.record.now(), identity, after))
        await super().answer(first, headers, writer)


async def main():
    record = standins.Record(RECORD)
    store = standins.Store()
    await store.serve("127.0.0.1")
    random.seed(1)
    count = 0

    async def add_server(cold_s=0):
        nonlocal count
        count += 1
        server = Leaver(record, f"i-{random.getrandbits(40):010x}", "model",
                        f"z-{'abc'[count % 3]}", work_s=0.3)
        await server.serve("127.0.0.1")
        if cold_s:
            server.start_cold(cold_s)
        server.beat = server.start_beats(store)
        return server

    servers = [await add_server() for _ in range(SERVERS)]
    routes = [standins.route("r-1", "/model/", "model", timeout_ms=2500)]
    store.write("op/config", standins.config(10, routes, ["model"],
                                             {"t-1": [KEY]}))
    routers = [standins.Router(record, f"edge-z-{zone}-{n}", f"z-{zone}",
                               f"127.0.0.{10 + 3 * place + n}", store,
                               configMs=4000, drainMs=4000, retrySlack=630)
               for place, zone in enumerate("ab") for n in (1, 2, 3)]
    outcomes = {}
    number = 0

    async def client(router):
        nonlocal number
        number += 1
        status, _, _ = await standins.request(
            router, "POST", "/model/1", f"{router.name}-{number}", KEY, b"x",
            deadline_ms=2500)
        outcomes[status] = outcomes.get(status, 0) + 1
        if status != 200:
            record.note(f"{router.name}: {status} to its request")

    async def traffic():
        while True:
            for router in routers:
                tasks.append(asyncio.create_task(client(router)))
            await asyncio.sleep(len(routers) / REQUESTS_PER_S)

    tasks = []
    late = []
    try:
        for router in routers:
            await router.start()
        for router in routers:
            if not await router.wait_ready():
                record.note("a router is not ready")
                return 2
        await asyncio.sleep(8)
        tasks.append(asyncio.create_task(traffic()))
        for turn in range(ROUNDS):
            new = [await add_server(COLD_S) for _ in range(NEW)]
            leaving = random.sample(servers, LEAVING)
            silent = leaving[:SILENT]
            for server in leaving[SILENT:]:
                server.phase = "draining"
            record.note(f"{LEAVING - SILENT} servers report draining, "
                        f"{NEW} new ones start")
            await asyncio.sleep(DRAIN_S + 2)
            new += [await add_server(COLD_S) for _ in range(NEW)]
            await asyncio.sleep(1)
            # Their entries are removed; nothing is wrong with the store yet.
            for server in leaving:
                server.beat.cancel()
                store.remove(f"servers/{server.identity}")
            for server in silent:
                server.left_at = record.now()
                server.late = ()
            left_at = record.now()
            record.note(f"the entries of {LEAVING} servers are removed; "
                        f"{[server.identity for server in silent]} never "
                        "reported draining and go on serving")
            await asyncio.sleep(0.1)
            if TROUBLE:
                store.forget_history()
                record.note("the store forgets its history")
            forgot_at = record.now()
            await asyncio.sleep(LINGER_S)
            for server in silent:
                for at, identity, after in server.late:
                    if after > DRAIN_S and at > forgot_at + WINDOW_S + 1:
                        late.append(identity)
                        record.note(f"BROKEN: {identity} reached "
                                    f"{server.identity} {after:.3f} s after "
                                    "the removal of its entry")
            for server in leaving:
                server.exit()
            record.note("these servers exit")
            await asyncio.sleep(1)
            servers = [server for server in servers if server not in leaving]
            servers += new
        record.note(f"answers by status (0: none): {outcomes}")
        record.note(f"{len(late)} requests reached servers that had left")
        if not outcomes.get(200):
            return 2
        return 1 if late else 0
    finally:
        for task in tasks:
            task.cancel()
        for router in routers:
            await router.close()
        record.close()


standins.run(main)
