"""Greenlets whose end by an exception would stop a part of the process."""

import typing
from collections.abc import Callable

import gevent

from quetzalswitch import nodelog

RESTART_PAUSE_S: typing.Final = 1.0


def spawn(
    function: Callable[[], None],
    log: nodelog.NodeLog,
    on_failure: Callable[[str], None] = lambda reason: None,
) -> gevent.Greenlet:
    """Starts a greenlet that logs an exception which ends it.

    Args:
        function: Runs in the greenlet.
        log: Where an exception is logged.
        on_failure: Called afterwards with the reason.
    """
    return gevent.spawn(_run, function, log, on_failure)


def spawn_loop(
    function: Callable[[], None],
    log: nodelog.NodeLog,
    on_failure: Callable[[str], None] = lambda reason: None,
) -> gevent.Greenlet:
    """Like `spawn`, but calls the function again after each exception."""
    return gevent.spawn(_run_again, function, log, on_failure)


def _run(
    function: Callable[[], None],
    log: nodelog.NodeLog,
    on_failure: Callable[[str], None],
) -> bool:
    """Returns whether the function ended without an exception."""
    try:
        function()
        return True
    except Exception as error:  # noqa: BLE001 - logged
        name = getattr(function, "__qualname__", repr(function))
        log.note(
            "greenlet_failed", name=name, **nodelog.describe_exception(error)
        )
        on_failure(f"{name} ended by an unexpected error")
        return False


def _run_again(
    function: Callable[[], None],
    log: nodelog.NodeLog,
    on_failure: Callable[[str], None],
) -> None:
    while not _run(function, log, on_failure):
        gevent.sleep(RESTART_PAUSE_S)
