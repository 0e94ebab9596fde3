"""Callers of a site, and the outcomes of their requests as seen by the caller."""

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
# Outcomes without a response: the connection was refused, or closed too early.
REFUSED = "connection refused"
CUT_OFF = "cut off"

READINESS_POLL_INTERVAL_S = 0.2
REQUEST_TIMEOUT_S = 60.0


class CallerRequest(NamedTuple):
    """Request to be sent; ``key`` is its idempotency key."""

    service: str
    body: bytes
    entry_host: str
    key: str | None = None
    headers: dict[str, str] = {}

    @property
    def digest(self) -> str:
        return hashlib.sha256(self.body).hexdigest()


class SentRequest(NamedTuple):
    """Request that was sent, and its outcome; times are on the monotonic clock."""

    request: CallerRequest
    outcome: str
    started_s: float
    ended_s: float
    status: int = 0
    reason: str = ""
    request_id: str = ""
    digest: str = ""
    is_recorded: bool = False
    is_last_on_connection: bool = False


def send(
    site: Site, request: CallerRequest, http: urllib3.PoolManager | None = None
) -> SentRequest:
    """Sends a request and waits for its outcome.

    :param http: pool that keeps the connection alive, by default a shared one.
    """
    headers = dict(request.headers)
    if request.key is not None:
        headers["Idempotency-Key"] = request.key
    url = f"http://{site.http_address(request.entry_host)}"
    started_s = time.monotonic()
    try:
        response = (http or _shared_http).request(
            "POST",
            f"{url}/v1/services/{request.service}/requests",
            body=request.body,
            headers=headers,
            timeout=REQUEST_TIMEOUT_S,
            retries=False,
        )
    except NewConnectionError:
        return SentRequest(request, REFUSED, started_s, time.monotonic())
    except HTTPError as error:
        now_s = time.monotonic()
        return SentRequest(request, CUT_OFF, started_s, now_s, reason=repr(error))
    return _sent_request(request, response, started_s)


_shared_http = urllib3.PoolManager(num_pools=64, maxsize=400)


def _sent_request(
    request: CallerRequest, response: urllib3.BaseHTTPResponse, started_s: float
) -> SentRequest:
    outcome = response.headers.get("Sycamorecroft-Outcome", "none")
    digest = ""
    if response.status == 200 and outcome == RUN:
        digest = msgspec.json.decode(response.data)["digest"]
    return SentRequest(
        request,
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


def send_all(
    site: Site, requests: Iterable[CallerRequest], concurrency_count: int
) -> list[SentRequest]:
    """Sends requests, up to ``concurrency_count`` at a time.

    :returns: the sent requests, in the order of ``requests``.
    """
    with ThreadPoolExecutor(concurrency_count) as executor:
        return list(executor.map(lambda request: send(site, request), requests))


def ready_entry_hosts(site: Site) -> list[str]:
    """
    :returns: entry hosts that report that they are ready.
    """
    ready = []
    for entry_host in site.entry_hosts:
        try:
            answer = site.call(
                site.http_address(entry_host), "GET", "/readyz", timeout_s=1
            )
        except HTTPError:
            continue
        if answer.status == 200:
            ready.append(entry_host)
    return ready


class LoadBalancer(threading.Thread):
    """Stand-in for the platform's load balancer: polls the readiness of entry hosts.

    :param excluded: entry hosts that get no requests.
    """

    def __init__(self, site: Site, excluded: frozenset[str] = frozenset()) -> None:
        super().__init__(daemon=True)
        self._site = site
        self._excluded = excluded
        self._stopped = threading.Event()
        self._next_index = 0
        self._ready = self._read_ready()

    def _read_ready(self) -> list[str]:
        return [e for e in ready_entry_hosts(self._site) if e not in self._excluded]

    def next_entry_host(self) -> str:
        """
        :returns: a ready entry host, round robin.
        """
        ready = self._ready
        self._next_index += 1
        return ready[self._next_index % len(ready)]

    def run(self) -> None:
        while not self._stopped.wait(READINESS_POLL_INTERVAL_S):
            self._ready = self._read_ready() or self._ready

    def stop(self) -> None:
        self._stopped.set()


class _Caller(threading.Thread):
    """Caller that uses one connection until it is closed."""

    def __init__(self, callers: "Callers", number: int) -> None:
        super().__init__(daemon=True)
        self._callers = callers
        self._number = number
        self._http = urllib3.PoolManager(maxsize=1, num_pools=16)
        self.sent: list[SentRequest] = []

    def run(self) -> None:
        callers = self._callers
        entry_host = callers.balancer.next_entry_host()
        while not callers.stopped.is_set():
            name = f"{callers.name}-{self._number}-{len(self.sent)}"
            request = callers.make_request(name, entry_host)
            sent = send(callers.site, request, self._http)
            self.sent.append(sent)
            if sent.is_last_on_connection or sent.outcome in (REFUSED, CUT_OFF):
                entry_host = callers.balancer.next_entry_host()
            remaining_s = callers.pause_s - (sent.ended_s - sent.started_s)
            time.sleep(max(remaining_s, 0.0))
        self._http.clear()


class Callers:
    """Starts callers that each send requests sequentially over a kept-alive connection.

    :param make_request: builds a request from a unique name and an entry host.
    :param pause_s: minimum time between the starts of two requests of a caller.
    :param excluded: entry hosts that get no request.
    """

    def __init__(
        self,
        site: Site,
        name: str,
        count: int,
        make_request: Callable[[str, str], CallerRequest],
        *,
        pause_s: float = 0.02,
        excluded: frozenset[str] = frozenset(),
    ) -> None:
        self.site = site
        self.name = name
        self.make_request = make_request
        self.pause_s = pause_s
        self.stopped = threading.Event()
        self.balancer = LoadBalancer(site, excluded)
        self._threads = [_Caller(self, number) for number in range(count)]
        for thread in (self.balancer, *self._threads):
            thread.start()

    def stop(self) -> list[SentRequest]:
        """Stops the callers after their requests in flight.

        :returns: all requests that were sent.
        """
        self.stopped.set()
        for thread in self._threads:
            thread.join(REQUEST_TIMEOUT_S)
        self.balancer.stop()
        return [sent for thread in self._threads for sent in thread.sent]
