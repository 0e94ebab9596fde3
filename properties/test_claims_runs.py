"""Random runs over claims of three entry hosts, against a naive reference."""

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

HOSTS = st.integers(0, 2)
KEYS = st.sampled_from(["a", "b", "c"])
DIGESTS = st.sampled_from(["digest", "digest", "digest", "other"])
ENDS = ["record", "lose", "release"]
SETTINGS = ClaimSettings(BatchSettings(window_s=0.0, budget_wait_s=0.0), 0.1)


class NaiveClaims:
    """Claims of a single process without faults: the reference."""

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
        self.hosts = [self.new_host(tables) for tables in self.tables]
        self.held = []
        self.dispatches = Counter()
        self.answers = {}
        self.naive = NaiveClaims()
        self.had_fault = False

    def new_host(self, tables):
        host = ClaimService(tables, self.objects, SystemClock(), settings=SETTINGS)
        host.start()
        return host

    def teardown(self):
        for host in self.hosts:
            host.stop()

    @rule(host=HOSTS, key=KEYS, digest=DIGESTS)
    def claim(self, host, key, digest):
        expected = self.naive.claim(key, digest)
        outcome = self.try_claim(host, key, digest)
        if isinstance(outcome, RecordedResponse):
            assert outcome.body == self.answers[key]
            outcome = outcome.body
        if not self.had_fault:
            assert outcome == expected

    def try_claim(self, host, key, digest):
        claim_key = ClaimKey("account", "service", key)
        deadline_s = time.monotonic() + 5.0
        try:
            result = self.hosts[host].claim(
                claim_key, body_digest=digest, deadline_s=deadline_s
            )
        except RequestError:
            return "error"
        except NotRunError:
            return "not-run"
        if isinstance(result, HeldClaim):
            self.held.append((host, result))
            return "held"
        return "pending" if isinstance(result, PendingClaim) else result

    @rule(position=st.integers(0, 9), end=st.sampled_from(ENDS))
    def resume(self, position, end):
        """A claimant goes on, perhaps long after it got its claim.

        Nothing that is drawn depends on the state, which threads make vary.
        """
        if not self.held:
            return
        host, held = self.held.pop(position % len(self.held))
        key = held.key.idempotency_key
        if end == "release":
            self.hosts[host].release(held)
            self.naive.digests.pop(key, None)
        else:
            check_single_dispatch(key, self.dispatches[key])
            self.dispatches[key] += 1
            self.answers[key] = held.token.encode()
        if end == "record":
            response = RecordedResponse(200, {}, self.answers[key])
            self.hosts[host].record(held, response)
            self.naive.responses[key] = self.answers[key]
        if not self.tables[host].holds_writes:
            assert self.hosts[host].wait_until_written(5.0)

    @rule(host=HOSTS, ahead=st.integers(1, 4), takes_effect=st.booleans())
    def fail_a_call(self, host, ahead, takes_effect):
        self.had_fault = True
        tables = self.tables[host]
        tables.fail_at = tables.calls_count + ahead
        tables.takes_effect = takes_effect

    @rule(host=HOSTS, holds=st.booleans())
    def hold_or_deliver_writes(self, host, holds):
        self.had_fault = True
        self.tables[host].holds_writes = holds
        if not holds:
            self.tables[host].deliver()

    @rule(host=HOSTS)
    def replace_host(self, host):
        """The host is killed; its claims stay, and its writes may still arrive."""
        self.had_fault = True
        self.held = [item for item in self.held if item[0] != host]
        self.hosts[host].stop()
        self.hosts[host] = self.new_host(self.tables[host])


TestClaimRuns = seed(SEED)(ClaimRuns).TestCase
TestClaimRuns.settings = settings(
    max_examples=60,
    stateful_step_count=25,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
