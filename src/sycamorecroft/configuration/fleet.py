"""Compiled configuration of a fleet, as daemons put it in force."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class Urgency(StrEnum):
    """Urgency class of a request, most urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"


class PoolConfiguration(NamedTuple):
    """A pool of hosts of one client account.

    ``max_unavailable_ratio`` is the availability budget: the largest share of the
    pool's hosts that may be out of service at once for planned work.
    """

    name: str
    account: str
    hosts_count: int
    max_unavailable_ratio: float
    is_spare: bool


class ServiceConfiguration(NamedTuple):
    """A service of one client account; it runs on exactly one pool.

    ``refusal_statuses`` are the HTTP statuses with which the backend server guarantees
    that it did no work for the request.
    """

    name: str
    account: str
    pool: str
    is_repeatable: bool
    default_urgency: Urgency
    timeout_s: float
    body_limit_bytes: int
    refusal_statuses: tuple[int, ...]


class TeamConfiguration(NamedTuple):
    """A team of a client account: its weight in fair queueing and its slot quota."""

    name: str
    weight: float
    slots_quota_count: int


class AccountConfiguration(NamedTuple):
    """A client account: its data centres, availability target and teams."""

    name: str
    data_centres: tuple[str, ...]
    availability_ratio: float
    teams: Mapping[str, TeamConfiguration]


class FleetConfiguration(NamedTuple):
    """A version of the configuration; version numbers start at 1 and only increase."""

    version: int
    accounts: Mapping[str, AccountConfiguration]
    pools: Mapping[str, PoolConfiguration]
    services: Mapping[str, ServiceConfiguration]
