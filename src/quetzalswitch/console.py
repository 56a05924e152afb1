"""What the command lines share: exit codes, errors and output."""

import os
import sys
import typing
from collections.abc import Callable
from collections.abc import Sequence

import cyclopts
import msgspec

import quetzalswitch
from quetzalswitch import exceptions

DONE: typing.Final = 0
FAILED: typing.Final = 1
BAD_ARGUMENTS: typing.Final = 2

_RUN_WORDS: typing.Final = {
    exceptions.RunState.NOT_RUN: "the request was not run",
    exceptions.RunState.FAILED: "the request ran and failed",
    exceptions.RunState.UNKNOWN: "it is not known whether the request ran",
}


def make_app(name: str, text: str) -> cyclopts.App:
    """Returns a command line with `--help` and `--version`."""
    return cyclopts.App(
        name=name,
        help=text,
        help_format="plaintext",
        version=f"{name} {quetzalswitch.__version__}",
        result_action="return_value",
    )


def run(app: Callable, arguments: Sequence[str] | None = None) -> int:
    """Runs a command line and returns its exit code.

    Returns:
        0 when done, 1 when it failed, 2 for bad arguments or settings.
    """
    try:
        code = app(arguments, exit_on_error=False)
    except (cyclopts.CycloptsError, exceptions.SettingsError) as error:
        if isinstance(error, exceptions.SettingsError):
            print_error(str(error))
        return BAD_ARGUMENTS
    except exceptions.RequestError as error:
        print_error(describe_error(error))
        return FAILED
    except exceptions.QuetzalError as error:
        print_error(str(error))
        return FAILED
    except BrokenPipeError:
        # The reader of the output, such as `head`, has seen enough. Python
        # would complain again when it flushes the stream at the end.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return DONE
    except KeyboardInterrupt:
        print_error("interrupted")
        return FAILED
    return code if isinstance(code, int) else DONE


def describe_error(error: exceptions.RequestError) -> str:
    """Returns an error answer in words."""
    words = f"{error.kind.value}: {error.message}; {_RUN_WORDS[error.run]}"
    if error.retry_after_s:
        words += f"; try again in {error.retry_after_s:g} s"
    return words


def print_error(message: str) -> None:
    """Prints a message to standard error."""
    print(f"error: {message}", file=sys.stderr)


def print_json(value: typing.Any) -> None:
    """Prints a value as indented JSON."""
    text = msgspec.json.format(msgspec.json.encode(value), indent=2)
    print(text.decode())


def print_table(header: Sequence[str], rows: Sequence[Sequence]) -> None:
    """Prints rows in aligned columns."""
    cells = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(header))]
    for row in cells:
        padded = (c.ljust(w) for c, w in zip(row, widths, strict=True))
        print("  ".join(padded).rstrip())
