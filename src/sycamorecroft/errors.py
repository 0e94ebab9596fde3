"""Exceptions of the package. Errors of libraries are chained where they are caught."""


class SycamorecroftError(Exception):
    """Base class of all errors raised by this package."""


class InvariantError(SycamorecroftError):
    """An invariant of the design is violated."""


class SettingsError(SycamorecroftError):
    """A settings file is missing, malformed or contains an invalid value."""


class ConfigurationError(SycamorecroftError):
    """A configuration template or its parameters are invalid."""


class ConfigurationConflictError(ConfigurationError):
    """Another operator has committed a newer configuration version."""


class PlatformError(SycamorecroftError):
    """Base class of errors of calls to the platform's services."""


class StoreUnavailableError(PlatformError):
    """The call was not sent, or it is certain that the platform did not apply it."""


class NoOpenConnectionError(StoreUnavailableError):
    """The call needed a connection that is open already, and wasn't sent."""


class CallWithheldError(StoreUnavailableError):
    """The call may not be sent any more, and wasn't: its permission has run out."""


class StoreOutcomeUnknownError(PlatformError):
    """A write was sent and no response arrived; it may have been applied."""


class StoreConflictError(PlatformError):
    """A check of a transaction failed; nothing was written.

    :param rows: current rows of the failed transaction's checks, if the store returns
        them.
    """

    def __init__(self, message: str, rows: tuple[object, ...] = ()) -> None:
        super().__init__(message)
        self.rows = rows


class StoreHistoryLostError(PlatformError):
    """The store has discarded changes after a version; the table must be read again."""


class WorkerCallError(PlatformError):
    """A call to a worker failed.

    :param may_have_run: whether the worker may have executed the call.
    """

    def __init__(self, message: str, *, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


class StoreBudgetExceededError(StoreUnavailableError):
    """The daemon's budget of store calls for this purpose is exhausted."""


class NotLeaseHolderError(SycamorecroftError):
    """The caller does not hold the lease, or holds it with an outdated epoch."""


class StaleEpochError(SycamorecroftError):
    """A worker has seen a higher epoch: another entry host owns the service."""


class WorkerReplacedError(SycamorecroftError):
    """Another worker, or another incarnation of the same one, uses the address."""


class CopyLimitError(SycamorecroftError):
    """The state of a service is too large to be copied in the time allowed."""


class JobAccessError(SycamorecroftError):
    """The job belongs to another client account than the call."""


class KeyRefusedError(SycamorecroftError):
    """A call that was being served would not be served any more.

    :param response: response to the caller, which says why.
    :param is_final: whether it is known that the call's key doesn't pass the check,
        rather than not known whether it does.
    """

    def __init__(self, response: object, *, is_final: bool) -> None:
        super().__init__("the key of the call doesn't pass the check any more")
        self.response = response
        self.is_final = is_final


class RequestError(SycamorecroftError):
    """A caller's request is invalid; the message names the value and the rule."""


class NotRunError(SycamorecroftError):
    """It is certain that the request was not run.

    :param reason: reason code of bounded cardinality, used in counters and responses.
    """

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason


class OutcomeUnknownError(SycamorecroftError):
    """The request may have run, but no complete response arrived.

    :param reason: reason code of bounded cardinality, used in counters and responses.
    """

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason


class RecordError(PlatformError):
    """A row of the table service contains a record that can't be decoded."""


class PoolOperationError(SycamorecroftError):
    """The present state of a host or pool does not permit the operation."""


class BudgetExceededError(PoolOperationError):
    """The operation would take more hosts of a pool out of service than allowed."""


class HostBlockedError(PoolOperationError):
    """Entry hosts may still send requests to the host.

    :param blockers: the entry hosts with the reasons.
    """

    def __init__(self, message: str, blockers: tuple[object, ...]) -> None:
        super().__init__(message)
        self.blockers = blockers


class MaintenanceError(SycamorecroftError):
    """A maintenance declaration or a change to it is invalid."""
