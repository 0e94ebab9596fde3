"""Exit codes of the command-line tool."""

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


class OperatorRefusedError(SycamorecroftError):
    """The daemon refused the operator's token."""


class UnsuccessfulError(SycamorecroftError):
    """What the command waited for ended without success or not in time."""


class UnknownNameError(SycamorecroftError):
    """No daemon knows what was asked for."""


class ExitCode(IntEnum):
    """Exit codes; programs may rely on them.

    ``INVALID``: a file, setting or value is not valid; nothing was changed.
    ``CONFLICT``: another operator published first; nothing was changed.
    ``UNAVAILABLE``: no daemon or no store could be reached; nothing was changed.
    ``OUTCOME_UNKNOWN``: the change may have been made; the command can be repeated.
    ``REFUSED``: the token was refused; nothing was changed.
    ``UNSUCCESSFUL``: the command worked, but what it waited for ended without success
    or not in time.
    ``NOT_FOUND``: no daemon knows what was asked for.
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


# Subclasses stand before their base classes.
_EXIT_CODES: tuple[tuple[type[SycamorecroftError], ExitCode], ...] = (
    (ConfigurationConflictError, ExitCode.CONFLICT),
    (ConfigurationError, ExitCode.INVALID),
    (SettingsError, ExitCode.INVALID),
    (RequestError, ExitCode.INVALID),
    (StoreUnavailableError, ExitCode.UNAVAILABLE),
    (StoreOutcomeUnknownError, ExitCode.OUTCOME_UNKNOWN),
    (OutcomeUnknownError, ExitCode.OUTCOME_UNKNOWN),
    (OperatorRefusedError, ExitCode.REFUSED),
    (UnsuccessfulError, ExitCode.UNSUCCESSFUL),
    (UnknownNameError, ExitCode.NOT_FOUND),
)


def exit_code_of(error: SycamorecroftError) -> ExitCode:
    """
    :returns: the exit code that reports ``error``.
    """
    for kind, code in _EXIT_CODES:
        if isinstance(error, kind):
            return code
    return ExitCode.INTERNAL_ERROR
