"""The demonstration behind utils/demo."""

import collections
import json
import os
import signal
import sys

import fleet as fleets

FOLDER = os.path.join(fleets.ROOT, "build", "demo")
ADDRESSES = os.path.join(FOLDER, "addresses.json")


def stop_kept():
    """Ends the processes that --keep left running."""
    if not os.path.exists(ADDRESSES):
        print("nothing to stop")
        return
    with open(ADDRESSES, encoding="utf-8") as file:
        addresses = json.load(file)
    entries = (
        addresses["routers"] + addresses["engines"] + addresses["services"]
        + [addresses["kv"], addresses["hosts"]]
    )
    for entry in entries:
        try:
            os.kill(entry["pid"], signal.SIGKILL)
        except ProcessLookupError:
            pass
    os.remove(ADDRESSES)
    print(f"stopped {len(entries)} processes")


def send_chats(fleet):
    """Sends two turns of thirty chats through changing routers."""
    complete = 0
    served = collections.Counter()
    same = 0
    for number in range(30):
        homes = []
        for turn in range(2):
            status, headers, text = fleet.chat(
                (number + turn) % 3, f"chat-{number}", f"c{number % 10}",
                f"question {number}",
            )
            ended = text.rstrip().endswith("data: [DONE]")
            complete += status == 200 and ended
            homes.append(headers.get("X-Upstream"))
            served[headers.get("X-Upstream")] += 1
        same += homes[0] == homes[1]
    print(f"chats: {complete} of 60 streams complete")
    print(f"chats: {same} of 30 returned to the upstream of their first turn")
    for upstream, count in sorted(served.items()):
        print(f"  {upstream} served {count}")
    return complete == 60


def send_bookings(fleet):
    """Sends each of twenty bookings twice, through different routers."""
    keys = [fleets.new_key() for _ in range(20)]
    for number, key in enumerate(keys):
        fleet.book(number % 3, key)
        fleet.book((number + 1) % 3, key)
    ran = fleet.executions()
    once = sum(ran.get(key, 0) == 1 for key in keys)
    print(f"bookings: {once} of {len(keys)} keys ran exactly once, "
          "each sent twice")
    return once == len(keys)


def main():
    if "--stop" in sys.argv:
        stop_kept()
        return 0
    fleet = fleets.Fleet(FOLDER)
    keep = "--keep" in sys.argv
    try:
        fleet.begin()
        print("three routers ready, preset ordinary-day in force")
        good = send_chats(fleet) and send_bookings(fleet)
        print(fleet.ctl("upstream", "list").stdout, end="")
        if keep and good:
            with open(ADDRESSES, "w", encoding="utf-8") as file:
                json.dump(fleet.addresses(), file, indent=2)
            print(f"left running; addresses in {ADDRESSES}")
            fleet.processes = {}
        return 0 if good else 1
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
