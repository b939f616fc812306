"""Runs the demonstration of utils/demo on binaries that are already built."""

import collections
import json
import os
import signal
import sys

import fleet as fleet_lib

WORK_DIR = os.path.join(fleet_lib.ROOT, "build", "demo")
ADDRESSES_FILE = os.path.join(WORK_DIR, "addresses.json")


def stop_kept_fleet():
    """Kills the processes that --keep left running."""
    if not os.path.exists(ADDRESSES_FILE):
        print("nothing to stop")
        return
    with open(ADDRESSES_FILE, encoding="utf-8") as file:
        addresses = json.load(file)
    processes = (
        addresses["routers"] + addresses["engines"] + addresses["services"]
        + [addresses["kv"], addresses["hosts"]]
    )
    for process in processes:
        try:
            os.kill(process["pid"], signal.SIGKILL)
        except ProcessLookupError:
            pass
    os.remove(ADDRESSES_FILE)
    print(f"stopped {len(processes)} processes")


def send_chats(fleet):
    """Sends two turns of each of 30 chats, through different routers.

    Returns whether all streams are complete.
    """
    complete = 0
    served = collections.Counter()
    returned = 0
    for number in range(30):
        turn_upstreams = []
        for turn in range(2):
            status, headers, text = fleet.send_chat(
                (number + turn) % 3, f"chat-{number}", f"c{number % 10}",
                f"question {number}",
            )
            ended = text.rstrip().endswith("data: [DONE]")
            complete += status == 200 and ended
            turn_upstreams.append(headers.get("X-Upstream"))
            served[headers.get("X-Upstream")] += 1
        returned += turn_upstreams[0] == turn_upstreams[1]
    print(f"chats: {complete} of 60 streams complete")
    print(f"chats: {returned} of 30 returned to the upstream of their first "
          "turn")
    for upstream, count in sorted(served.items()):
        print(f"  {upstream} served {count}")
    return complete == 60


def send_bookings(fleet):
    """Sends each of 20 bookings twice, through different routers.

    Returns whether each ran exactly once.
    """
    keys = [fleet_lib.new_idempotency_key() for _ in range(20)]
    for number, key in enumerate(keys):
        fleet.send_booking(number % 3, key)
        fleet.send_booking((number + 1) % 3, key)
    counts = fleet.execution_counts()
    ran_once = sum(counts.get(key, 0) == 1 for key in keys)
    print(f"bookings: {ran_once} of {len(keys)} keys ran exactly once, "
          "each sent twice")
    return ran_once == len(keys)


def main():
    if "--stop" in sys.argv:
        stop_kept_fleet()
        return 0
    fleet = fleet_lib.Fleet(WORK_DIR)
    keep_running = "--keep" in sys.argv
    try:
        fleet.start_and_wait()
        print("three routers ready, preset ordinary-day in force")
        passed = send_chats(fleet) and send_bookings(fleet)
        print(fleet.baobabctl("upstream", "list").stdout, end="")
        if keep_running and passed:
            with open(ADDRESSES_FILE, "w", encoding="utf-8") as file:
                json.dump(fleet.addresses(), file, indent=2)
            print(f"left running; addresses in {ADDRESSES_FILE}")
            fleet.processes = {}
        return 0 if passed else 1
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
