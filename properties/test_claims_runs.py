"""Randomised runs of claims by three entry hosts, compared with a reference model."""

import time
from collections import Counter

from hypothesis import HealthCheck, seed, settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from properties.seeds import SEED
from standins.memory_objects import MemoryObjects
from standins.memory_tables import MemoryTables
from standins.scripted_tables import ScriptedTables
from sycamorecroft.claims import (
    ClaimKey,
    ClaimService,
    ClaimSettings,
    HeldClaim,
    PendingClaim,
    RecordedResponse,
)
from sycamorecroft.clock import SystemClock
from sycamorecroft.errors import NotRunError, RequestError
from sycamorecroft.invariants import check_single_dispatch
from sycamorecroft.store.insert_batcher import BatchSettings

ENTRY_HOSTS = st.integers(0, 2)
KEYS = st.sampled_from(["a", "b", "c"])
DIGESTS = st.sampled_from(["digest", "digest", "digest", "other"])
OUTCOMES = ["record", "lose", "release"]
SETTINGS = ClaimSettings(BatchSettings(window_s=0.0, budget_wait_s=0.0), 0.1)


class ReferenceClaims:
    """Claims of a single process without faults."""

    def __init__(self):
        self.digests = {}
        self.responses = {}

    def claim(self, key, digest):
        if key not in self.digests:
            self.digests[key] = digest
            return "held"
        if self.digests[key] != digest:
            return "error"
        return self.responses.get(key, "pending")


class ClaimRuns(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.rows = MemoryTables()
        self.objects = MemoryObjects()
        self.tables = [ScriptedTables(self.rows) for _ in range(3)]
        self.entry_hosts = [self.new_entry_host(tables) for tables in self.tables]
        self.held = []
        self.dispatches = Counter()
        self.answers = {}
        self.reference = ReferenceClaims()
        self.has_had_fault = False

    def new_entry_host(self, tables):
        entry_host = ClaimService(
            tables, self.objects, SystemClock(), settings=SETTINGS
        )
        entry_host.start()
        return entry_host

    def teardown(self):
        for entry_host in self.entry_hosts:
            entry_host.stop()

    @rule(entry_host=ENTRY_HOSTS, key=KEYS, digest=DIGESTS)
    def claim(self, entry_host, key, digest):
        expected = self.reference.claim(key, digest)
        outcome = self.try_claim(entry_host, key, digest)
        if isinstance(outcome, RecordedResponse):
            assert outcome.body == self.answers[key]
            outcome = outcome.body
        if not self.has_had_fault:
            assert outcome == expected

    def try_claim(self, entry_host, key, digest):
        claim_key = ClaimKey("account", "service", key)
        deadline_s = time.monotonic() + 5.0
        try:
            result = self.entry_hosts[entry_host].claim(
                claim_key, body_digest=digest, deadline_s=deadline_s
            )
        except RequestError:
            return "error"
        except NotRunError:
            return "not-run"
        if isinstance(result, HeldClaim):
            self.held.append((entry_host, result))
            return "held"
        return "pending" if isinstance(result, PendingClaim) else result

    @rule(position=st.integers(0, 9), outcome=st.sampled_from(OUTCOMES))
    def resume(self, position, outcome):
        """A claimant continues, possibly long after it got its claim.

        No draw depends on the state, as threads make the state non-deterministic.
        """
        if not self.held:
            return
        entry_host, held = self.held.pop(position % len(self.held))
        key = held.key.idempotency_key
        if outcome == "release":
            self.entry_hosts[entry_host].release(held)
            self.reference.digests.pop(key, None)
        else:
            check_single_dispatch(key, self.dispatches[key])
            self.dispatches[key] += 1
            self.answers[key] = held.token.encode()
        if outcome == "record":
            response = RecordedResponse(200, {}, self.answers[key])
            self.entry_hosts[entry_host].record(held, response)
            self.reference.responses[key] = self.answers[key]
        if not self.tables[entry_host].holds_writes:
            assert self.entry_hosts[entry_host].wait_until_written(5.0)

    @rule(
        entry_host=ENTRY_HOSTS,
        calls_ahead_count=st.integers(1, 4),
        takes_effect=st.booleans(),
    )
    def fail_call(self, entry_host, calls_ahead_count, takes_effect):
        self.has_had_fault = True
        tables = self.tables[entry_host]
        tables.fail_at = tables.calls_count + calls_ahead_count
        tables.takes_effect = takes_effect

    @rule(entry_host=ENTRY_HOSTS, delays_writes=st.booleans())
    def hold_or_deliver_writes(self, entry_host, delays_writes):
        self.has_had_fault = True
        self.tables[entry_host].holds_writes = delays_writes
        if not delays_writes:
            self.tables[entry_host].deliver()

    @rule(entry_host=ENTRY_HOSTS)
    def replace_entry_host(self, entry_host):
        """Kills an entry host: its claims stay, and delayed writes may still arrive."""
        self.has_had_fault = True
        self.held = [item for item in self.held if item[0] != entry_host]
        self.entry_hosts[entry_host].stop()
        self.entry_hosts[entry_host] = self.new_entry_host(self.tables[entry_host])


TestClaimRuns = seed(SEED)(ClaimRuns).TestCase
TestClaimRuns.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
