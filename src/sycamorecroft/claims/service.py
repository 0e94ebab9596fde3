"""Claims on idempotency keys, kept in the platform's table service."""

import random
import threading
import uuid
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from sycamorecroft.claims.interfaces import (
    ClaimKey,
    ClaimResult,
    Claims,
    HeldClaim,
    PendingClaim,
    RecordedResponse,
)
from sycamorecroft.claims.records import (
    CLAIMS_TABLE,
    ClaimRecord,
    ClaimVersion,
    claim_puts,
    decode_claim,
    load_response,
    row_key,
)
from sycamorecroft.claims.writer import RECHECK_DELAYS_S, ClaimWrite, ClaimWriter
from sycamorecroft.clock import Clock
from sycamorecroft.errors import NotRunError, PlatformError, RequestError
from sycamorecroft.invariants import check_single_dispatch
from sycamorecroft.store.insert_batcher import (
    BatchSettings,
    Insert,
    InsertBatcher,
    InsertOutcome,
)
from sycamorecroft.store.interfaces import (
    ObjectStore,
    Row,
    StorePurpose,
    TableService,
)

# The row is absent after a conflict only if the other claim was released in between;
# several such conflicts in sequence mean that the key is contended.
CLAIM_ATTEMPTS_MAX_COUNT = 3
HELD_CLAIMS_MAX_COUNT = 8192


class ClaimSettings(NamedTuple):
    """Settings of the claim service; ``stop_timeout_s`` bounds the last writes."""

    batch: BatchSettings = BatchSettings()
    stop_timeout_s: float = 5.0


class _Refusal(NamedTuple):
    reason: str
    message: str


_REFUSALS = {
    InsertOutcome.UNAVAILABLE: _Refusal(
        "store_unavailable", "the table service can't be reached; repeat later"
    ),
    InsertOutcome.BUDGET_EXCEEDED: _Refusal(
        "store_budget", "the store budget for claims is used up; repeat later"
    ),
    InsertOutcome.EXPIRED: _Refusal(
        "deadline", "the deadline passed before the claim was held; repeat later"
    ),
}


class ClaimService(Claims):
    """Keeps claims in the table service; inserts are batched.

    Thread-safe. Call :meth:`start` before and :meth:`stop` after use. A ``NotRunError``
    refers to this attempt only: another attempt with the same key, which this daemon
    could not see, may have run.
    """

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        clock: Clock,
        *,
        settings: ClaimSettings = ClaimSettings(),
        new_token: Callable[[], str] = lambda: uuid.uuid4().hex,
        random_source: random.Random | None = None,
    ) -> None:
        """
        :param new_token: returns a token that is unique across all daemons.
        :param random_source: source of the jitter of retries.
        """
        self._tables = tables
        self._objects = objects
        self._clock = clock
        self._settings = settings
        self._new_token = new_token
        self._lock = threading.Lock()
        self._held: OrderedDict[str, ClaimVersion] = OrderedDict()
        self._writer = ClaimWriter(
            tables, objects, clock, random_source=random_source or random.Random()
        )
        self._batcher = InsertBatcher(
            tables,
            clock,
            purpose=StorePurpose.CLAIMS,
            on_late_commit=self._release_late_commit,
            settings=settings.batch,
        )

    def start(self) -> None:
        """Starts the threads for batches and background writes; must be called once."""
        self._writer.start()
        self._batcher.start()

    def stop(self) -> int:
        """Refuses new claims and writes queued records and releases until the timeout.

        :returns: number of records and releases that were not written; their claims
            stay pending.
        """
        self._batcher.stop()
        return self._writer.stop(self._settings.stop_timeout_s)

    def wait_until_written(self, timeout_s: float) -> bool:
        """
        :returns: whether all records and releases were written within the timeout.
        """
        return self._writer.wait_until_idle(timeout_s)

    def claim(
        self, key: ClaimKey, *, body_digest: str, deadline_s: float
    ) -> ClaimResult:
        for _ in range(CLAIM_ATTEMPTS_MAX_COUNT):
            result = self._try_claim(key, body_digest, deadline_s)
            if result is not None:
                return result
        message = (
            f"idempotency key {key.idempotency_key!r} is claimed and released by other "
            "attempts too often; repeat later"
        )
        raise NotRunError("claim_contended", message)

    def record(self, claim: HeldClaim, response: RecordedResponse) -> None:
        self._writer.add(
            ClaimWrite(
                row_key(claim.key),
                claim.token,
                last_written=self._pop_held(claim.token),
                response=response,
            )
        )

    def release(self, claim: HeldClaim) -> None:
        last_written = self._pop_held(claim.token)
        self._writer.add(
            ClaimWrite(row_key(claim.key), claim.token, last_written=last_written)
        )

    def _try_claim(
        self, key: ClaimKey, body_digest: str, deadline_s: float
    ) -> ClaimResult | None:
        """
        :returns: ``None`` when the conflicting claim has been released since.
        """
        record: ClaimRecord = {
            "account": key.account,
            "service": key.service,
            "token": self._new_token(),
            "body_digest": body_digest,
            "day": self._clock.now().date().isoformat(),
            "response": None,
        }
        insert = Insert(claim_puts(row_key(key), record))
        result = self._batcher.insert(insert, deadline_s=deadline_s)
        outcome = result.outcome
        if outcome is InsertOutcome.COMMITTED:
            return self._keep_held(
                key, ClaimVersion(record, result.version), deadline_s
            )
        if outcome is InsertOutcome.CONFLICT:
            return self._resolve_conflict(key, record, deadline_s)
        if outcome is InsertOutcome.UNKNOWN:
            return self._resolve_lost_response(key, record, deadline_s)
        refusal = _REFUSALS[outcome]
        raise NotRunError(refusal.reason, refusal.message)

    def _keep_held(
        self, key: ClaimKey, last_written: ClaimVersion, deadline_s: float
    ) -> HeldClaim:
        claim = HeldClaim(key, last_written.record["token"])
        with self._lock:
            self._held[claim.token] = last_written
            if len(self._held) > HELD_CLAIMS_MAX_COUNT:
                self._held.popitem(last=False)
        if self._clock.monotonic_s() >= deadline_s:
            self.release(claim)
            raise NotRunError(*_REFUSALS[InsertOutcome.EXPIRED])
        return claim

    def _resolve_conflict(
        self, key: ClaimKey, record: ClaimRecord, deadline_s: float
    ) -> ClaimResult | None:
        try:
            row = self._read(key)
        except PlatformError:
            # Another attempt exists and may have run, so NotRunError would be wrong.
            return PendingClaim(key)
        if row is None:
            return None
        return self._resolve(key, record, row, deadline_s)

    def _resolve_lost_response(
        self, key: ClaimKey, record: ClaimRecord, deadline_s: float
    ) -> ClaimResult:
        """Resolves an insert with unknown outcome by reading the row.

        An absent row proves nothing, as the insert may still be in flight. Unless the
        row shows the claim of this attempt, the claim is released in the background.
        """
        try:
            row = self._read(key)
        except PlatformError:
            row = None
        if row is None or decode_claim(row.value or b"{}")["token"] != record["token"]:
            self._release_with_rechecks(row_key(key), record["token"])
        if row is not None:
            return self._resolve(key, record, row, deadline_s)
        message = "the response to the claim was lost; repeat with the same key"
        raise NotRunError("store_unavailable", message)

    def _read(self, key: ClaimKey) -> Row | None:
        return self._tables.read(
            CLAIMS_TABLE, row_key(key), purpose=StorePurpose.CLAIMS
        )

    def _resolve(
        self, key: ClaimKey, own: ClaimRecord, row: Row, deadline_s: float
    ) -> ClaimResult:
        found = decode_claim(row.value or b"{}")
        if found["body_digest"] != own["body_digest"]:
            message = (
                f"idempotency key {key.idempotency_key!r} of service {key.service!r} "
                "was used with another body; repeat the first body unchanged, or send "
                "a new request under a new key"
            )
            raise RequestError(message)
        if found["token"] == own["token"]:
            check_single_dispatch(own["token"], int(found["response"] is not None))
            return self._keep_held(key, ClaimVersion(found, row.version), deadline_s)
        return self._load_recorded(found) or PendingClaim(key)

    def _load_recorded(self, found: ClaimRecord) -> RecordedResponse | None:
        stored = found["response"]
        if stored is None:
            return None
        body = None
        if stored["object_key"] is not None:
            try:
                body = self._objects.get(stored["object_key"])
            except PlatformError:
                return None
        return load_response(stored, body)

    def _pop_held(self, token: str) -> ClaimVersion | None:
        with self._lock:
            return self._held.pop(token, None)

    def _release_late_commit(self, insert: Insert) -> None:
        first = insert.puts[0]
        assert first.value is not None
        self._release_with_rechecks(first.key, decode_claim(first.value)["token"])

    def _release_with_rechecks(self, claim_row_key: str, token: str) -> None:
        write = ClaimWrite(
            claim_row_key, token, last_written=None, recheck_delays_s=RECHECK_DELAYS_S
        )
        self._writer.add(write)
