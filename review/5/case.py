"""Two crashes of servers, some seconds apart, make a sound request refused at
every router for ten minutes."""
import asyncio
import os
import time

from standins import (STABILITY_S, Router, Server, Store, call, run_case,
                      wait_ready)

KEY = "key-of-a"
ROUTERS, SERVERS = 9, 9
BACK_S = 3.0
#: Steady state begins well after the last impairment, and lasts this long.
STEADY_AFTER_S, STEADY_S = 10.0, 70.0


def config(version, with_later):
    route = {"hostname": "a.example", "routeKind": "safe", "timeoutMs": 1500,
             "goalMs": 100, "priority": 2, "service": "plain", "attempts": 2,
             "public": False, "affinity": False}
    routes = [{**route, "name": "first", "prefix": "/first/"}]
    if with_later:
        routes.append({**route, "name": "later", "prefix": "/later/"})
    return {
        "version": version, "routes": routes,
        "services": [{"name": "plain", "healthPath": "/healthz",
                      "maxConns": 110, "protocol": "h1", "tls": False,
                      "coldStartS": 0.0, "coldPerS": 0.0}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "a", "apiKeys": [KEY]}]}


async def case(record, work_dir, trouble, processes):
    store = Store(record)
    await store.start()
    store.write("op/config", config(10, False))
    servers = [Server(record, store, f"i-{n}", "plain") for n in range(SERVERS)]
    for server in servers:
        await server.start()
    routers = [Router(record, work_dir, f"edge-{n}", store.port)
               for n in range(ROUTERS)]
    processes.extend(routers)
    for router in routers:
        router.start()
    await wait_ready(routers)

    stopping = asyncio.Event()
    results = []  # when it was sent, route, status

    async def send(router, path, request_id):
        sent_at = time.monotonic()
        record.line(f"client sends {request_id} to {router.name}")
        status, _, _ = await call(
            router.port, "GET", path,
            {"Host": "a.example", "X-Request-Id": request_id,
             "X-Deadline-Ms": "1500", "Api-Key": KEY}, timeout=2.0)
        record.line(f"client gets {status} for {request_id}")
        results.append((sent_at, path.split("/")[1], status))

    async def poll(router, period_s, path_of):
        number, tasks = 0, []
        while not stopping.is_set():
            number += 1
            path = path_of(number)
            tasks.append(asyncio.create_task(send(
                router, path,
                f"{path.split('/')[1]}.{router.name}.{number}")))
            await asyncio.sleep(period_s)
        await asyncio.gather(*tasks)

    clients = [asyncio.create_task(poll(
        router, 0.2, lambda n, r=router.name: f"/first/{r}-{n}"))
        for router in routers]
    await asyncio.sleep(STABILITY_S)
    store.write("op/config", config(11, True))
    record.line("version 11 with the route 'later' is confirmed")
    await asyncio.sleep(4.0)

    async def crash_the_one_that_runs(request_id):
        deadline = time.monotonic() + 2.0
        while time.monotonic() < deadline:
            for server in servers:
                if server.is_up and server.runs and any(
                        i == request_id for _, i in server.runs[-3:]):
                    record.line(f"server {server.id} crashes")
                    server.crash()
                    asyncio.get_running_loop().create_task(bring_back(server))
                    return
            await asyncio.sleep(0.002)

    async def bring_back(server):
        await asyncio.sleep(BACK_S)
        store.remove(f"servers/{server.id}")
        await server.restart(f"{server.id}-again")

    # One caller asks every four seconds. Two servers crash, one after the
    # other, for a reason of their own, while they run such a request.
    for number in range(2):
        request_id = f"early.{number}"
        asking = asyncio.create_task(
            send(routers[number], "/later/today", request_id))
        if trouble:
            await crash_the_one_that_runs(request_id)
        await asking
        await asyncio.sleep(4.0)
    last_trouble = time.monotonic()
    # Then all callers ask, each at its router.
    clients += [asyncio.create_task(poll(router, 1.0,
                                         lambda n: "/later/today"))
                for router in routers]
    await asyncio.sleep(STEADY_AFTER_S + STEADY_S)
    stopping.set()
    await asyncio.gather(*clients)

    share = {}
    for route in ("first", "later"):
        statuses = [status for at, name, status in results if name == route
                    and at > last_trouble + STEADY_AFTER_S]
        served = sum(status == 200 for status in statuses)
        share[route] = served / len(statuses)
        counts = {s: statuses.count(s) for s in sorted(set(statuses))}
        record.result(f"route '{route}', from {STEADY_AFTER_S:.0f} s after the "
                      f"last crash on: {served} of {len(statuses)} served "
                      f"{counts}")
    return share["later"] >= 0.25 * share["first"]


run_case(os.path.dirname(os.path.abspath(__file__)), case)
