"""Entry point of the command-line tool ``sycamorecroft``."""

import sys
from collections.abc import Sequence

from cyclopts import App, CycloptsError

from sycamorecroft.cli import (
    configuration_commands,
    explain_commands,
    host_commands,
    inventory_commands,
    job_commands,
    maintenance_commands,
    status_commands,
)
from sycamorecroft.cli.exit_codes import EXIT_CODES_HELP, ExitCode, exit_code_of
from sycamorecroft.cli.output import print_error
from sycamorecroft.errors import SycamorecroftError

_GROUPS = (
    status_commands,
    configuration_commands,
    host_commands,
    inventory_commands,
    maintenance_commands,
    job_commands,
    explain_commands,
)


def create_app() -> App:
    """
    :returns: the command-line application with all command groups registered.
    """
    app = App(
        name="sycamorecroft",
        help="Fleet capacity and maintenance manager.",
        help_epilogue=EXIT_CODES_HELP,
        result_action="return_value",
    )
    for group in _GROUPS:
        group.register(app)
    app.register_install_completion_command()
    return app


def main(arguments: Sequence[str] | None = None) -> int:
    """
    :param arguments: arguments without the program name, ``None`` for those of the
        process.
    :returns: the exit code, see :class:`~sycamorecroft.cli.exit_codes.ExitCode`.
    """
    tokens = list(sys.argv[1:] if arguments is None else arguments)
    try:
        create_app()(tokens, exit_on_error=False, print_error=True)
    except CycloptsError:
        return ExitCode.USAGE
    except SycamorecroftError as error:
        code = exit_code_of(error)
        print_error(str(error), code, "--json" in tokens)
        return code
    return ExitCode.SUCCESS


if __name__ == "__main__":
    sys.exit(main())
