"""Callers of a site, and their requests as they saw them."""

import hashlib
import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from standins.site import Site

RUN = "run"
NOT_RUN = "not-run"
UNKNOWN = "unknown"
# Seen by the caller only: the connection was refused, or ended without a response.
REFUSED = "connection refused"
CUT_OFF = "cut off"

BALANCER_INTERVAL_S = 0.2
REQUEST_TIMEOUT_S = 60.0


class Order(NamedTuple):
    """A request that is to be sent; ``key`` is its idempotency key."""

    service: str
    body: bytes
    entry: str
    key: str | None = None
    headers: dict[str, str] = {}

    @property
    def digest(self) -> str:
        return hashlib.sha256(self.body).hexdigest()


class Sent(NamedTuple):
    """A request that was sent, and its outcome. Times are monotonic seconds."""

    order: Order
    outcome: str
    started_s: float
    ended_s: float
    status: int = 0
    reason: str = ""
    request_id: str = ""
    digest: str = ""
    is_recorded: bool = False
    is_last_on_connection: bool = False


def send(site: Site, order: Order, http: urllib3.PoolManager | None = None) -> Sent:
    """Sends a request and waits for its outcome."""
    headers = dict(order.headers)
    if order.key is not None:
        headers["Idempotency-Key"] = order.key
    url = f"http://{site.http_address(order.entry)}"
    started_s = time.monotonic()
    try:
        response = (http or _shared_http).request(
            "POST",
            f"{url}/v1/services/{order.service}/requests",
            body=order.body,
            headers=headers,
            timeout=REQUEST_TIMEOUT_S,
            retries=False,
        )
    except NewConnectionError:
        return Sent(order, REFUSED, started_s, time.monotonic())
    except HTTPError as error:
        now_s = time.monotonic()
        return Sent(order, CUT_OFF, started_s, now_s, reason=repr(error))
    return _sent(order, response, started_s)


_shared_http = urllib3.PoolManager(num_pools=64, maxsize=400)


def _sent(order: Order, response: urllib3.BaseHTTPResponse, started_s: float) -> Sent:
    outcome = response.headers.get("Sycamorecroft-Outcome", "none")
    digest = ""
    if response.status == 200 and outcome == RUN:
        digest = msgspec.json.decode(response.data)["digest"]
    return Sent(
        order,
        outcome,
        started_s,
        time.monotonic(),
        response.status,
        response.headers.get("Sycamorecroft-Reason", ""),
        response.headers.get("Sycamorecroft-Request-Id", ""),
        digest,
        response.headers.get("Sycamorecroft-Recorded") == "yes",
        response.headers.get("Connection", "").lower() == "close",
    )


def send_all(site: Site, orders: Iterable[Order], concurrency_count: int) -> list[Sent]:
    """Sends requests, several at a time."""
    with ThreadPoolExecutor(concurrency_count) as executor:
        return list(executor.map(lambda order: send(site, order), orders))


def ready_entries(site: Site) -> list[str]:
    """
    :returns: entry hosts that report to be ready.
    """
    ready = []
    for entry in site.entry_hosts:
        try:
            answer = site.call(site.http_address(entry), "GET", "/readyz", timeout_s=1)
        except HTTPError:
            continue
        if answer.status == 200:
            ready.append(entry)
    return ready


class Balancer(threading.Thread):
    """Stands for the platform's load balancer: tracks which entry hosts are ready."""

    def __init__(self, site: Site, avoided: frozenset[str] = frozenset()) -> None:
        super().__init__(daemon=True)
        self._site = site
        self._avoided = avoided
        self._stopped = threading.Event()
        self._turn = 0
        self._ready = self._read()

    def _read(self) -> list[str]:
        return [e for e in ready_entries(self._site) if e not in self._avoided]

    def next(self) -> str:
        """
        :returns: an entry host, each in turn.
        """
        ready = self._ready
        self._turn += 1
        return ready[self._turn % len(ready)]

    def run(self) -> None:
        while not self._stopped.wait(BALANCER_INTERVAL_S):
            self._ready = self._read() or self._ready

    def stop(self) -> None:
        self._stopped.set()


class _Caller(threading.Thread):
    """Keeps its connection to one entry host until it is closed."""

    def __init__(self, callers: "Callers", number: int) -> None:
        super().__init__(daemon=True)
        self._callers = callers
        self._number = number
        self._http = urllib3.PoolManager(maxsize=1, num_pools=16)
        self.sent: list[Sent] = []

    def run(self) -> None:
        callers = self._callers
        entry = callers.balancer.next()
        while not callers.stopped.is_set():
            name = f"{callers.name}-{self._number}-{len(self.sent)}"
            order = callers.make_order(name, entry)
            sent = send(callers.site, order, self._http)
            self.sent.append(sent)
            if sent.is_last_on_connection or sent.outcome in (REFUSED, CUT_OFF):
                entry = callers.balancer.next()
            rest_s = callers.pause_s - (sent.ended_s - sent.started_s)
            time.sleep(max(rest_s, 0.0))
        self._http.clear()


class Callers:
    """Callers that send requests one after another over kept-alive connections.

    :param make_order: makes a request from a unique name and an entry host.
    :param pause_s: a caller starts at most one request in this time.
    :param avoided: entry hosts that get no request.
    """

    def __init__(
        self,
        site: Site,
        name: str,
        count: int,
        make_order: Callable[[str, str], Order],
        *,
        pause_s: float = 0.02,
        avoided: frozenset[str] = frozenset(),
    ) -> None:
        self.site = site
        self.name = name
        self.make_order = make_order
        self.pause_s = pause_s
        self.stopped = threading.Event()
        self.balancer = Balancer(site, avoided)
        self._threads = [_Caller(self, number) for number in range(count)]
        for thread in (self.balancer, *self._threads):
            thread.start()

    def stop(self) -> list[Sent]:
        """Waits for the requests in flight.

        :returns: all requests.
        """
        self.stopped.set()
        for thread in self._threads:
            thread.join(REQUEST_TIMEOUT_S)
        self.balancer.stop()
        return [sent for thread in self._threads for sent in thread.sent]
