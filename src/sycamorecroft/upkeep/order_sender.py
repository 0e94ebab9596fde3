"""Claims fencing tokens for host orders and sends the orders in parallel."""

from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor

from sycamorecroft.clock import Clock
from sycamorecroft.upkeep.fleet_store import FleetStore, StoredWave
from sycamorecroft.upkeep.hosts import FencingToken, HostOrderStatus

# An order whose claim is older isn't sent: another entry host may have become the fleet
# controller since.
CLAIM_AGE_LIMIT_S = 1.0
SENDERS_COUNT = 4
# A transaction holds at most 100 entries, and each host takes two: a check and a put.
ORDERS_PER_CLAIM_COUNT = 40

SendOrder = Callable[[str, FencingToken], HostOrderStatus]


class OrderSender:
    """Sends host orders on behalf of the fleet controller."""

    def __init__(self, fleet_store: FleetStore, clock: Clock) -> None:
        self._fleet_store = fleet_store
        self._clock = clock
        self._senders = ThreadPoolExecutor(SENDERS_COUNT, "host-order")

    def close(self) -> None:
        """Stops the threads once the calls in progress have returned."""
        self._senders.shutdown(wait=False)

    def send_orders(
        self,
        hosts: Sequence[str],
        send: SendOrder,
        wave_key: str | None = None,
        wave: StoredWave | None = None,
    ) -> tuple[FencingToken, dict[str, HostOrderStatus]]:
        """Claims one fencing token for all hosts, then sends the order for each.

        :param hosts: names of the hosts, at most :data:`ORDERS_PER_CLAIM_COUNT`.
        :param send: sends the order for one host.
        :param wave_key: number of the wave; ``None`` for orders that belong to no wave.
        :param wave: stored progress of the wave.
        :returns: the token and the outcome for each host.
        :raises StoreConflictError: when another entry host changed one of the rows.
        :raises PlatformError: when it is not known whether the claim was written.
        """
        expires_s = self._clock.monotonic_s() + CLAIM_AGE_LIMIT_S
        token = self._fleet_store.claim_orders(
            hosts, wave_key, wave, expires_s=expires_s
        )

        def send_if_recent(host: str) -> HostOrderStatus:
            if self._clock.monotonic_s() >= token.expires_s:
                return HostOrderStatus.NOT_DONE
            return send(host, token)

        statuses = self._senders.map(send_if_recent, hosts)
        return token, dict(zip(hosts, statuses, strict=True))
