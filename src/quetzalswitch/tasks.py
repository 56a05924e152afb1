"""Tasks: greenlets that own their state and communicate by messages."""

import typing

import gevent
import gevent.queue


class Task:
    """A greenlet with an inbox.

    Subclasses implement `handle` for messages and may override `run` when they
    also wait on sockets. Only the task's own greenlet accesses its state.
    """

    def __init__(self, name: str):
        self.name = name
        self.inbox: gevent.queue.Queue = gevent.queue.Queue()
        self._greenlet: gevent.Greenlet | None = None

    def start(
        self, on_failure: typing.Callable[[str], None] | None = None
    ) -> None:
        """Starts the greenlet.

        Args:
            on_failure: Called with the task's name if it ends by an exception.
                A process must not continue with one of its tasks missing.
        """
        self._greenlet = gevent.spawn(self.run)
        self._greenlet.name = self.name
        if on_failure is not None:
            self._greenlet.link_exception(lambda _: on_failure(self.name))

    def post(self, message: typing.Any) -> None:
        """Puts a message into the inbox without waiting."""
        self.inbox.put(message)

    def run(self) -> None:
        """Handles messages one at a time until stopped."""
        while True:
            self.handle(self.inbox.get())

    def handle(self, message: typing.Any) -> None:
        """Handles one message."""
        raise NotImplementedError

    def stop(self) -> None:
        """Ends the greenlet and waits for its end."""
        if self._greenlet is not None:
            self._greenlet.kill()
            self._greenlet = None
