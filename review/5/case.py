"""Routers that are restarted run a request again that is known to crash
servers."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib"))
from standins import (STABILITY_S, Router, Server, Store, call, run_case,
                      wait_ready)

KEY = "key-of-a"
ROUTERS, SERVERS = 5, 6
#: Planned restarts, one after the other; the request comes again once between
#: two of them, at another router each time.
RESTART_PERIOD_S = 7.0
BACK_S = 3.0
#: The deadly request: the same path, caller and body each time.
DEADLY = "/look/dead"


def config():
    route = {"hostname": "a.example", "timeoutMs": 1500, "goalMs": 100,
             "priority": 2, "service": "plain", "public": False,
             "affinity": False}
    return {
        "version": 10,
        "routes": [{**route, "name": "s", "prefix": "/look/",
                    "routeKind": "safe", "attempts": 2},
                   {**route, "name": "u", "prefix": "/book/",
                    "routeKind": "unsafe", "attempts": 1}],
        "services": [{"name": "plain", "healthPath": "/healthz",
                      "maxConns": 110, "protocol": "h1", "tls": False,
                      "coldStartS": 0.0, "coldPerS": 0.0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "a", "apiKeys": [KEY]}]}


async def case(record, work_dir, trouble, processes):
    store = Store(record)
    await store.start()
    store.write("op/config", config())
    servers = [Server(record, store, f"i-{n}", "plain") for n in range(SERVERS)]
    crashes = []  # when, request id

    def crashes_on(server, headers):
        request_id = headers["x-request-id"]
        if not request_id.startswith("dead."):
            return False
        crashes.append((time.monotonic(), request_id))
        asyncio.get_running_loop().create_task(bring_back(server))
        return True

    async def bring_back(server):
        await asyncio.sleep(BACK_S)
        store.remove(f"servers/{server.id}")
        await server.restart(f"{server.id.split('.')[0]}.{len(crashes)}")

    for server in servers:
        server.crashes_on = crashes_on
        await server.start()
    routers = [Router(record, work_dir, f"edge-{n}", store.port)
               for n in range(ROUTERS)]
    processes.extend(routers)
    for router in routers:
        router.start()
    await wait_ready(routers)

    stopping = asyncio.Event()
    answers = {}
    in_touch = set()  # ids of requests sent to machines in touch

    async def book(router, number):
        request_id = f"book.{router.name}.{number}"
        status, _, _ = await call(
            router.port, "POST", f"/book/{number}",
            {"Host": "a.example", "X-Request-Id": request_id,
             "X-Deadline-Ms": "1500", "Api-Key": KEY}, request_id.encode(),
            timeout=2.0)
        if router.process.poll() is None:
            answers[status] = answers.get(status, 0) + 1

    async def client(router):
        number, tasks = 0, []
        while not stopping.is_set():
            number += 1
            if await router.is_ready():
                tasks.append(asyncio.create_task(book(router, number)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)

    async def send_deadly(router, number):
        request_id = f"dead.{number}"
        if time.monotonic() > router.started_at + STABILITY_S:
            in_touch.add(request_id)
        record.line(f"client sends {request_id} to {router.name}")
        status, _, _ = await call(
            router.port, "GET", DEADLY,
            {"Host": "a.example", "X-Request-Id": request_id,
             "X-Deadline-Ms": "1500", "Api-Key": KEY}, timeout=2.0)
        record.line(f"client gets {status} for {request_id}")

    clients = [asyncio.create_task(client(router)) for router in routers]
    await asyncio.sleep(STABILITY_S + 1.0)
    # It comes twice, at two routers, and crashes its first servers.
    await send_deadly(routers[0], 1)
    await asyncio.sleep(BACK_S + 1.0)
    await send_deadly(routers[1], 2)
    await asyncio.sleep(BACK_S + 1.0)
    start = time.monotonic()
    for number in range(2 * ROUTERS):
        router = routers[number % ROUTERS]
        await sleep_until(start + number * RESTART_PERIOD_S)
        if trouble:
            await router.terminate()
            router.start()
            await wait_ready([router])
        await sleep_until(max(start + (number + 1) * RESTART_PERIOD_S - 0.6,
                              router.started_at + STABILITY_S + 0.3))
        await send_deadly(router, 3 + number)
    await asyncio.sleep(1.0)
    stopping.set()
    await asyncio.gather(*clients)

    record.result(f"{len(crashes)} crashes; answers to bookings: " + ", ".join(
        f"{status or 'none'}: {count}"
        for status, count in sorted(answers.items())))
    if len(crashes) < 3:
        record.result("fewer than three crashes")
        return True
    third = crashes[2][0]
    retries = {i for at, i in crashes
               if at > third + STABILITY_S and i in in_touch}
    record.result(f"retries of the request that reached servers, sent by "
                  f"machines in touch later than {STABILITY_S:.0f} s after the "
                  f"third crash: {len(retries)}, 3 allowed")
    return len(retries) <= 3


async def sleep_until(moment):
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


run_case(os.path.dirname(os.path.abspath(__file__)), case)
