"""Exception tree of the package. Library errors are chained at the boundary."""


class SycamorecroftError(Exception):
    """Base class of all errors raised by this package."""


class InvariantError(SycamorecroftError):
    """An invariant of the design does not hold."""


class SettingsError(SycamorecroftError):
    """A settings file is missing, malformed or holds a value that is not allowed."""


class ConfigurationError(SycamorecroftError):
    """A template or its parameters are not valid."""


class ConfigurationConflictError(ConfigurationError):
    """Another operator committed a version first."""


class PlatformError(SycamorecroftError):
    """Base class of errors of the platform's services."""


class StoreUnavailableError(PlatformError):
    """The call was not made, or the platform is known not to have applied it."""


class StoreOutcomeUnknownError(PlatformError):
    """A write was sent and no answer arrived; it may have taken effect."""


class StoreConflictError(PlatformError):
    """A check of a transaction failed; nothing was written.

    :param rows: current rows of the failed transaction's checks, where the store tells.
    """

    def __init__(self, message: str, rows: tuple[object, ...] = ()) -> None:
        super().__init__(message)
        self.rows = rows


class StoreHistoryLostError(PlatformError):
    """The store no longer knows all changes after a version; read the table again."""


class WorkerCallError(PlatformError):
    """A call to a worker failed.

    :param may_have_run: whether the worker may have carried out the call.
    """

    def __init__(self, message: str, *, may_have_run: bool) -> None:
        super().__init__(message)
        self.may_have_run = may_have_run


class StoreBudgetExceededError(StoreUnavailableError):
    """The daemon's share of store calls for this purpose is used up."""


class NotLeaseHolderError(SycamorecroftError):
    """The caller doesn't hold the lease, or holds it with an older epoch."""


class StaleEpochError(SycamorecroftError):
    """A worker has seen a higher epoch: another host owns the service."""


class WorkerReplacedError(SycamorecroftError):
    """Another worker, or another life of it, answers at the address."""


class RequestError(SycamorecroftError):
    """A caller's request is not valid: the message names the value and the rule."""


class NotRunError(SycamorecroftError):
    """The request was certainly not run.

    :param reason: bounded reason code used in counters and in answers.
    """

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason


class OutcomeUnknownError(SycamorecroftError):
    """The request may have run; no whole answer arrived.

    :param reason: bounded reason code used in counters and in answers.
    """

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason


class RecordError(PlatformError):
    """A row of the table service holds a record that can't be decoded."""


class PoolOperationError(SycamorecroftError):
    """An operation on a host or pool is not allowed in its present state."""


class BudgetExceededError(PoolOperationError):
    """The operation would take more hosts of a pool out of service than allowed."""


class HostBlockedError(PoolOperationError):
    """Entry hosts may still send requests to the host.

    :param blockers: the entry hosts and the reasons.
    """

    def __init__(self, message: str, blockers: tuple[object, ...]) -> None:
        super().__init__(message)
        self.blockers = blockers


class MaintenanceError(SycamorecroftError):
    """A maintenance declaration or a change to it is not valid."""
