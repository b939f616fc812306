"""One part of some prompts crashes servers; the part that begins every prompt
of the route is refused with it, and sound requests with it are refused."""
import asyncio
import os
import time

from standins import (STABILITY_S, Router, Server, Store, call, run_case,
                      wait_ready)

KEY = "key-of-a"
#: First part of every prompt of the route, and the part that crashes servers.
FIRST, DEADLY = "f1", "dead"
#: Sound requests come in rounds, one at each router and one more.
ROUND_S, ROUND_REQUESTS = 5.0, 4
POISON_AT_S, POISON_PERIOD_S, LAST_ROUND_S = 43.0, 0.5, 90.0
#: A crashed server is back after this long.
BACK_S = 3.0


def config():
    return {
        "version": 10,
        "routes": [{"name": "n", "hostname": "a.example", "prefix": "/stream/",
                    "routeKind": "streaming", "timeoutMs": 2500, "goalMs": 800,
                    "priority": 1, "service": "engine", "attempts": 1,
                    "public": False, "affinity": True, "resumable": False,
                    "gapAimMs": 300}],
        "services": [{"name": "engine", "healthPath": "/healthz",
                      "maxConns": 370, "protocol": "h1", "tls": False,
                      "coldStartS": 0.0, "coldPerS": 0.0,
                      "engine": {"slots": 64, "kvCapacity": 445152}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                   "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "a", "apiKeys": [KEY]}]}


async def case(record, work_dir, trouble, processes):
    store = Store(record)
    await store.start()
    store.write("op/config", config())
    servers = [Server(record, store, f"i-{n}", "engine", slots=64,
                      load_header=True, work_s=0.06) for n in range(9)]
    crashes = []

    def crashes_on(server, headers):
        if f"{DEADLY}:" not in headers.get("x-prompt-prefix", ""):
            return False
        crashes.append(time.monotonic())
        asyncio.get_running_loop().create_task(bring_back(server))
        return True

    async def bring_back(server):
        await asyncio.sleep(BACK_S)
        # The server is back, as a new lifetime with a new id.
        store.remove(f"servers/{server.id}")
        await server.restart(f"{server.id.split('.')[0]}.{len(crashes)}")

    for server in servers:
        server.crashes_on = crashes_on
        await server.start()
    routers = [Router(record, work_dir, f"edge-{n}", store.port)
               for n in range(3)]
    processes.extend(routers)
    for router in routers:
        router.start()
    await wait_ready(routers)
    await asyncio.sleep(STABILITY_S)
    start = time.monotonic()

    sound = {}  # id of the first attempt: when it was sent

    async def send(router, request_id, parts):
        record.line(f"client sends {request_id} to {router.name}")
        status, _, _ = await call(
            router.port, "POST", "/stream/1",
            {"Host": "a.example", "X-Request-Id": request_id,
             "X-Model": "m", "X-Token-Count": "2401,20",
             "X-Prompt-Prefix": parts, "X-Deadline-Ms": "2500",
             "Api-Key": KEY}, request_id.encode(), timeout=3.0)
        record.line(f"client gets {status} for {request_id}")
        return status

    async def send_sound(router, number):
        request_id = f"sound.{number}"
        sound[request_id] = time.monotonic()
        parts = f"{FIRST}:341,{0x100 + number % 8:x}:1700,{0x5000 + number:x}:360"
        status = await send(router, request_id, parts)
        if status in (429, 503):
            # The client's one retry, later and at another router.
            await asyncio.sleep(0.3)
            await send(routers[(number + 1) % 3], f"{request_id}.again", parts)

    async def send_poison(router, number):
        await send(router, f"poison.{number}",
                   f"{FIRST}:341,{DEADLY}:1700,{0x9000 + number:x}:360")

    async def rounds():
        number = 0
        tasks = []
        for index in range(int(LAST_ROUND_S / ROUND_S) + 1):
            await sleep_until(start + index * ROUND_S)
            for offset in range(ROUND_REQUESTS):
                number += 1
                tasks.append(asyncio.create_task(
                    send_sound(routers[(index + offset) % 3], number)))
        await asyncio.gather(*tasks)

    async def poison():
        tasks = []
        number = 0
        await sleep_until(start + POISON_AT_S)
        while time.monotonic() < start + LAST_ROUND_S + 1:
            for router in routers:
                number += 1
                tasks.append(asyncio.create_task(send_poison(router, number)))
            await asyncio.sleep(POISON_PERIOD_S)
        await asyncio.gather(*tasks)

    work = [rounds()] + ([poison()] if trouble else [])
    await asyncio.gather(*work)

    ran = {request_id for server in servers for _, request_id in server.runs}
    record.result(f"{len(crashes)} crashes, at "
                  + ", ".join(f"{at - start:.1f} s" for at in crashes))
    if trouble and not crashes:
        return True
    # The rule: from 2 x stabilityWindowMs after the fifth crash (the last, if
    # there are fewer), against the time outside unplanned impairment.
    first_crash = crashes[0] if crashes else start + POISON_AT_S
    fifth_crash = (crashes[:5] or [start + POISON_AT_S])[-1]
    before = [i for i, at in sound.items() if at < first_crash]
    after = [i for i, at in sound.items()
             if at > fifth_crash + 2 * STABILITY_S]
    begun_before = sum(i in ran for i in before)
    begun_after = sum(i in ran for i in after)
    record.result(f"sound requests before the crashes: {begun_before} of "
                  f"{len(before)} began at the first attempt")
    record.result(f"sound requests from {fifth_crash + 2 * STABILITY_S - start:.1f}"
                  f" s on: {begun_after} of {len(after)} began at the first "
                  "attempt")
    if len(before) < 20 or len(after) < 20:
        record.result("fewer than 20 of each: the rule does not apply")
        return True
    return begun_after / len(after) >= 0.5 * begun_before / len(before)


async def sleep_until(moment):
    await asyncio.sleep(max(0.0, moment - time.monotonic()))


run_case(os.path.dirname(os.path.abspath(__file__)), case)
