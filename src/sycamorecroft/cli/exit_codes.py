"""Exit codes of the command-line tool and the errors that map to them."""

from enum import IntEnum

from sycamorecroft.errors import (
    ConfigurationConflictError,
    ConfigurationError,
    OutcomeUnknownError,
    RequestError,
    SettingsError,
    StoreOutcomeUnknownError,
    StoreUnavailableError,
    SycamorecroftError,
)


class OperatorTokenRefusedError(SycamorecroftError):
    """Raised when a daemon rejects the operator token."""


class UnsuccessfulError(SycamorecroftError):
    """Raised when a watched operation fails, is cancelled or exceeds the time limit."""


class NotFoundError(SycamorecroftError):
    """Raised when the requested host, request, job log or file does not exist."""


class ExitCode(IntEnum):
    """Exit codes; a stable interface for scripts.

    ``INVALID``: a file, setting or value is invalid; nothing was changed.
    ``CONFLICT``: another operator's change was published first; nothing was changed.
    ``UNAVAILABLE``: no daemon or no store could be reached; nothing was changed.
    ``OUTCOME_UNKNOWN``: the change may have been made; the command can be repeated.
    ``REFUSED``: a daemon rejected the token; nothing was changed.
    ``UNSUCCESSFUL``: the watched operation failed, was cancelled or did not end within
    the time limit.
    ``NOT_FOUND``: the requested object or file does not exist.
    """

    SUCCESS = 0
    INTERNAL_ERROR = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    OUTCOME_UNKNOWN = 6
    REFUSED = 7
    UNSUCCESSFUL = 8
    NOT_FOUND = 9


EXIT_CODES_HELP = "Exit codes: " + ", ".join(
    f"{code.value} {code.name.lower().replace('_', ' ')}" for code in ExitCode
)


# The first matching class decides, so subclasses precede their base classes.
_EXIT_CODES: tuple[tuple[type[SycamorecroftError], ExitCode], ...] = (
    (ConfigurationConflictError, ExitCode.CONFLICT),
    (ConfigurationError, ExitCode.INVALID),
    (SettingsError, ExitCode.INVALID),
    (RequestError, ExitCode.INVALID),
    (StoreUnavailableError, ExitCode.UNAVAILABLE),
    (StoreOutcomeUnknownError, ExitCode.OUTCOME_UNKNOWN),
    (OutcomeUnknownError, ExitCode.OUTCOME_UNKNOWN),
    (OperatorTokenRefusedError, ExitCode.REFUSED),
    (UnsuccessfulError, ExitCode.UNSUCCESSFUL),
    (NotFoundError, ExitCode.NOT_FOUND),
)


def exit_code_of(error: SycamorecroftError) -> ExitCode:
    """
    :returns: the exit code for ``error``, ``INTERNAL_ERROR`` for an unmapped class.
    """
    for error_type, code in _EXIT_CODES:
        if isinstance(error, error_type):
            return code
    return ExitCode.INTERNAL_ERROR
