"""A former holder's order reaches a machine after the new holder's."""

import os
import sys
import time
import traceback
from pathlib import Path

from review.rig_3.links import Link, Partition
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
# Length of core_cut and node_cut in the site file's list of troubles.
CUT_S = 5.5


class Site:
    """Store, machines service and two nodes, each with its own paths to both."""

    def __init__(self, record: Record) -> None:
        folder = create_folder()
        self.record = record
        self.store = StoreServer(reserve_port())
        self.machines = MachinesServer(reserve_port(), record)
        self.store.put("op", "config", FLEET)
        self.partitions: dict[str, Partition] = {}
        self.links: list[Link] = []
        self.nodes: dict[str, Node] = {}
        self._is_cut_due = False
        for name in ("frontend-1", "frontend-2"):
            partition = self.partitions[name] = Partition()
            to_store = Link(f"{name} to store", self.store.address, partition, record)
            to_machines = Link(
                f"{name} to machines", self.machines.address, partition, record
            )
            to_machines.on_bytes = lambda data, name=name: self._cut_at_order(
                name, data
            )
            self.links += (to_store, to_machines)
            self.nodes[name] = Node(
                name, to_store.address, to_machines.address, folder, record
            )

    def request_cut(self) -> None:
        """Cuts off the next machine that gives an order, while that is on its way."""
        self._is_cut_due = True

    def _cut_at_order(self, name: str, data: bytes) -> None:
        if self._is_cut_due and data.startswith(b"POST /api/machine-upkeep"):
            self._is_cut_due = False
            self.partitions[name].begin(CUT_S)
            self.record.write(f"{name} is cut off for {CUT_S} s")

    def close(self) -> None:
        """Ends all processes and servers."""
        for node in self.nodes.values():
            node.close()
        for link in self.links:
            link.close()
        self.machines.stop()
        self.store.stop()


def run(record: Record) -> int:
    """
    :returns: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
    """
    site = Site(record)
    try:
        for node in site.nodes.values():
            node.start()
        for node in site.nodes.values():
            node.wait_ready()
        if not wait_for(lambda: holder_of_machines(site.store) != "", 10.0):
            record.write("no holder")
            return 2
        time.sleep(3.0)
        record.write(f"holder is {holder_of_machines(site.store)}")
        if HAS_TROUBLE:
            site.request_cut()
        request_wave(site.store, 1)
        wait_for(lambda: is_complete(site.store, 1), 25.0)
        record.write(f"wave 1 complete: {is_complete(site.store, 1)}")
        time.sleep(3.0)
        record.write(f"holder is {holder_of_machines(site.store)}")
        broken = find_broken(site.machines.orders, site.nodes)
        for text in broken:
            record.write(f"ONE broken: {text}")
        record.write(f"{len(site.machines.orders)} orders, {len(broken)} broken")
        return 1 if broken else 0
    finally:
        site.close()


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
