"""Two holders in touch order the upkeep of one machine within lease-ms."""

import os
import signal
import sys
import time
import traceback
from pathlib import Path

from review.rig_3.machines import (
    FLEET,
    MachinesServer,
    find_broken,
    holder_of_machines,
    is_complete,
    request_wave,
    wait_for,
)
from review.rig_3.site import Node, Record, create_folder
from standins.platform_http import StoreServer
from standins.ports import reserve_port

FOLDER = Path(__file__).resolve().parent
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 105.0
ROUND_LIMIT_S = 22.0
ROUNDS_COUNT = 4
# How long the machines service takes for an answer on a bench day with cloud_slow at
# its default of 50 times, as measured from the nodes' logs; half the default length.
SLOW_S = 0.45
SLOW_DURATION_S = 2.5


def play_round(
    number: int,
    store: StoreServer,
    machines: MachinesServer,
    large: Node,
    record: Record,
) -> None:
    """Adds the large machine during a wave, and removes it again afterwards."""
    large.start()
    large.wait_ready()
    # The small holder hands over to the large node about 3 s after its first heartbeat.
    time.sleep(0.4 * number)
    if HAS_TROUBLE:
        machines.slow_s = SLOW_S
        machines.slow_until_s = time.monotonic() + SLOW_DURATION_S
        record.write(f"answers take {SLOW_S} s for {SLOW_DURATION_S} s")
    request_wave(store, number)
    wait_for(lambda: holder_of_machines(store) == large.name, 10.0)
    record.write(f"holder is {holder_of_machines(store)}")
    wait_for(lambda: is_complete(store, number), 14.0)
    record.write(f"wave {number} complete: {is_complete(store, number)}")
    large.signal(signal.SIGTERM)
    large.wait_ended()
    wait_for(lambda: holder_of_machines(store) not in ("", large.name), 6.0)


def run(record: Record) -> int:
    """
    :returns: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """
    end_s = time.monotonic() + LIMIT_S
    folder = create_folder()
    store = StoreServer(reserve_port())
    machines = MachinesServer(reserve_port(), record)
    store.put("op", "config", FLEET)

    def create(name: str, cores_count: float, link_mbps: float) -> Node:
        return Node(
            name,
            store.address,
            machines.address,
            folder,
            record,
            cores_count=cores_count,
            link_mbps=link_mbps,
        )

    # Sizes of the machines of grown/osst-croft-grown.toml.
    small = [create(f"small-{number}", 0.516, 10.0) for number in (1, 2)]
    large = create("large-1", 2.15, 200.0)
    nodes = {node.name: node for node in (*small, large)}
    try:
        for node in small:
            node.start()
        for node in small:
            node.wait_ready()
        if not wait_for(lambda: holder_of_machines(store) != "", 10.0):
            record.write("no holder")
            return 2
        time.sleep(3.0)
        for number in range(1, ROUNDS_COUNT + 1):
            if time.monotonic() > end_s - ROUND_LIMIT_S:
                break
            play_round(number, store, machines, large, record)
        if len({order.holder for order in machines.orders}) < 2:
            record.write("the holder never changed")
            return 2
        broken = find_broken(machines.orders, nodes)
        for text in broken:
            record.write(f"ONE broken: {text}")
        record.write(f"{len(machines.orders)} orders, {len(broken)} broken")
        return 1 if broken else 0
    finally:
        for node in nodes.values():
            node.close()
        machines.stop()
        store.stop()


def main() -> int:
    """
    :returns: the exit code.
    """
    record = Record(FOLDER / "record.txt")
    try:
        return run(record)
    except Exception:
        record.write(traceback.format_exc())
        return 2


if __name__ == "__main__":
    sys.exit(main())
