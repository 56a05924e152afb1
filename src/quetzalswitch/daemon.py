"""The command `quetzal-entry`: runs an entry process until it is stopped."""

import os
import signal
import sys
import typing

import gevent

from quetzalswitch import entry as entries
from quetzalswitch import exceptions
from quetzalswitch import logs
from quetzalswitch import settings


def run(*settings_files: str) -> int:
    """Runs an entry process until SIGTERM.

    Args:
        settings_files: Base file, then overlays.
    """
    loaded = settings.load(settings_files)
    logs.configure(loaded.process.log_level, loaded.process.log_json)
    process = entries.EntryProcess(loaded.process)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, lambda: gevent.spawn(process.drain))
    process.start()
    print(
        f"callers {process.callers_address} "
        f"operators {process.operators_address} pid {os.getpid()}",
        flush=True,
    )
    return process.wait()


def _find_command(arguments: list[str]) -> typing.Callable[[], int]:
    """Returns what to run for the given arguments."""
    if arguments and not any(text.startswith("-") for text in arguments):
        # File names need no parser; it would stay in memory for good.
        return lambda: run(*arguments)

    import cyclopts

    import quetzalswitch

    app = cyclopts.App(name="quetzal-entry", version=quetzalswitch.__version__)
    app.default(run)
    try:
        command, bound, _ = app.parse_args(arguments, exit_on_error=False)
    except cyclopts.CycloptsError:
        return lambda: 2
    return lambda: command(*bound.args, **bound.kwargs)


def main() -> None:
    """Runs the command `quetzal-entry`."""
    try:
        sys.exit(_find_command(sys.argv[1:])())
    except exceptions.SettingsError as error:
        print(f"entry: {error}", file=sys.stderr)
        sys.exit(2)


if __name__ == "__main__":
    main()
