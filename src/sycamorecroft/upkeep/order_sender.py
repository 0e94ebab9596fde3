"""Claims the tokens of orders for machines, then gives several orders at once."""

from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor

from sycamorecroft.clock import Clock
from sycamorecroft.upkeep.ledger import StoredWave, WaveLedger
from sycamorecroft.upkeep.machines import MachineOrderStatus, OrderToken

# An order that was claimed longer ago isn't sent: another host may have taken over.
CLAIM_AGE_LIMIT_S = 1.0
SENDERS_COUNT = 4
# A transaction holds at most 100 entries, two for each machine.
ORDERS_PER_CLAIM_COUNT = 40

SendOrder = Callable[[str, OrderToken], MachineOrderStatus]


class OrderSender:
    """Gives orders for machines on behalf of the machines' owner."""

    def __init__(self, ledger: WaveLedger, clock: Clock) -> None:
        self._ledger = ledger
        self._clock = clock
        self._senders = ThreadPoolExecutor(SENDERS_COUNT, "machine-order")

    def close(self) -> None:
        """Ends the threads after the calls in progress."""
        self._senders.shutdown(wait=False)

    def carry_out(
        self,
        machines: Sequence[str],
        send: SendOrder,
        key: str | None = None,
        wave: StoredWave | None = None,
    ) -> tuple[OrderToken, dict[str, MachineOrderStatus]]:
        """Claims a token for all machines, then gives the order for each.

        :param machines: at most :data:`ORDERS_PER_CLAIM_COUNT`.
        :param send: gives the order for one machine.
        :param key: number of the wave; ``None`` for orders outside of waves.
        :returns: the token, and the outcome for each machine.
        :raises StoreConflictError: when another host changed one of the rows.
        :raises PlatformError: when the claim is not known to be written.
        """
        claimed_s = self._clock.monotonic_s()
        token = self._ledger.claim_orders(machines, key, wave)

        def send_if_recent(machine: str) -> MachineOrderStatus:
            if self._clock.monotonic_s() - claimed_s > CLAIM_AGE_LIMIT_S:
                return MachineOrderStatus.NOT_DONE
            return send(machine, token)

        statuses = self._senders.map(send_if_recent, machines)
        return token, dict(zip(machines, statuses, strict=True))
