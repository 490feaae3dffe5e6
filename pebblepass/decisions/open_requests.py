"""The open requests of one router, and the multi-get commands that they belong to."""

from __future__ import annotations

from pebblepass.decisions.requests import Command, Request


class OpenRequests:
    """Requests by id, until their last attempt has ended; commands by name, until all requests are closed."""

    def __init__(self) -> None:
        self.by_id: dict[str, Request] = {}
        self.commands: dict[str, Command] = {}

    def open_command(self, name: str, requests: int) -> Command:
        """Return the command of this name, opened if necessary, and add `requests` to its open requests."""
        command = self.commands.setdefault(name, Command(name))
        command.open_requests += requests
        return command

    def remove(self, request: Request) -> None:
        """Remove a request that has its final answer and no attempt in flight."""
        del self.by_id[request.id]
        if request.command is not None:
            self.request_closed(request.command)

    def request_closed(self, command: Command) -> None:
        """Count one request of a command as closed; remove the command with its last request."""
        command.open_requests -= 1
        if not command.open_requests:
            del self.commands[command.name]
