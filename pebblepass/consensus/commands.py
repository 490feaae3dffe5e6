"""The `pebblepass policy` commands: propose, withdraw, status and history, through any router of a fleet."""

from __future__ import annotations

import http.client
import os
import sys
import tomllib
from pathlib import Path
from typing import Any, NoReturn

import click
import msgspec

from pebblepass.consensus.policy import PolicyError, read_policy
from pebblepass.wire.address import parse_address

EXIT_REFUSED, EXIT_USAGE, EXIT_OPEN = 1, 2, 3
EXIT_CODES = {"in force": 0, "refused": EXIT_REFUSED}
TIMEOUT_S = 40.0  # a router answers within 30 s
NOT_FOUND = 404


class NoAnswerError(Exception):
    """The router could not be reached or sent an invalid response. The message is one line."""


class Answer(msgspec.Struct, frozen=True):
    """A router's response."""

    status: int
    """The HTTP status."""
    content: Any
    """The decoded JSON; None: the router does not know the call."""


def request(router: str, method: str, call: str, body: bytes = b"") -> Answer:
    """Call a router's control address. Raises NoAnswerError, or ValueError for an invalid address."""
    host, port = parse_address("--router", router)
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request(method, f"/control/policy/{call}", body)
        response = connection.getresponse()
        data = response.read()
        content = msgspec.json.decode(data) if response.status != NOT_FOUND else None
        return Answer(response.status, content)
    except (OSError, http.client.HTTPException, msgspec.DecodeError) as error:
        raise NoAnswerError(f"{router}: {error or type(error).__name__}") from None
    finally:
        connection.close()


def _request_or_exit(router: str, method: str, call: str, body: bytes = b"") -> Answer:
    try:
        answer = request(router, method, call, body)
    except (NoAnswerError, ValueError) as error:
        _exit(str(error))
    if answer.content is None:
        _exit(f"{router} belongs to no fleet: it has no [fleet] section")
    return answer


def _exit(line: str) -> NoReturn:
    click.echo(f"pebblepass: {line}", err=True)
    sys.exit(EXIT_USAGE)


def _echo_json(content: object) -> None:
    click.echo(msgspec.json.encode(content).decode())


_router = click.option("--router", required=True, help="HOST:PORT of a router's control address.")
_json = click.option("--json", "as_json", is_flag=True, help="As JSON.")


@click.group()
def policy() -> None:
    """The policy that all routers of a fleet share."""


def _exit_with_verdict(verdict: dict[str, Any], as_json: bool) -> NoReturn:
    if as_json:
        _echo_json(verdict)
    else:
        for line in verdict["lines"]:
            click.echo(line)
        if verdict["state"] != "in force" and "change" in verdict:
            click.echo(f"change {verdict['change']}")
    sys.exit(EXIT_CODES.get(verdict["state"], EXIT_OPEN))


@policy.command()
@click.argument("file", type=click.Path(path_type=Path))
@_router
@click.option("--change", help="The id of the change; proposing it again does not repeat the change.")
@_json
def propose(file: Path, router: str, change: str | None, as_json: bool) -> None:
    """Propose the policy in FILE. Exit code 0: in force; 1: refused; 2: wrong usage; 3: open."""
    try:
        data = file.read_bytes()
        read_policy(str(file), data)
    except OSError as error:
        _exit(f"{file}: {error.strerror}")
    except (PolicyError, tomllib.TOMLDecodeError) as error:
        _exit(str(error))
    call = f"propose/{change or os.urandom(6).hex()}"
    _exit_with_verdict(_request_or_exit(router, "POST", call, data).content, as_json)


@policy.command()
@click.argument("change")
@_router
@click.option("--who", default="", help="The person who withdraws it.")
@_json
def withdraw(change: str, router: str, who: str, as_json: bool) -> None:
    """Withdraw CHANGE, if it is not decided yet. The exit codes are those of `propose`."""
    answer = _request_or_exit(router, "POST", f"withdraw/{change}", who.encode())
    _exit_with_verdict(answer.content, as_json)


@policy.command()
@_router
@_json
def status(router: str, as_json: bool) -> None:
    """Show a router's version and lease, and its view of the other routers."""
    report = _request_or_exit(router, "GET", "status").content
    if as_json:
        _echo_json(report)
        return
    lease = f"in force for {report['lease_ms']} ms"
    if not report["in_force"]:
        lease = "not in force here: limited to the floors"
    click.echo(f"{report['router']}: version {report['version']}, {lease}")
    _echo_quota_leases(report.get("shares", {}))
    if report["problem"]:
        click.echo(f"this router can't use the version: {report['problem']}")
    if report["open"]:
        click.echo(f"open: change {report['open']}")
    click.echo(f"voters: {', '.join(report['voters'])}; {report['needed']} decide")
    for name, row in report["routers"].items():
        age = "" if row.get("age_ms", 0) <= 0 else f", last heartbeat {row['age_ms']} ms ago"
        click.echo(f"{name}: {row.get('state', 'unknown')}, under version {row['version']}{age}")


def _echo_quota_leases(report: dict[str, Any]) -> None:
    if not report.get("on"):
        return
    rates = ", ".join(f"{name} {rate:.4g} a second" for name, rate in report["per_s"].items())
    reason = f"; {report['why']}" if report["why"] else ""
    click.echo(f"in addition to its floors: {rates or 'nothing'}{reason}")


@policy.command()
@_router
@_json
def history(router: str, as_json: bool) -> None:
    """Show the latest versions, newest first: their author, reason and changes."""
    rows = _request_or_exit(router, "GET", "history").content
    if as_json:
        _echo_json(rows)
        return
    for row in rows:
        author = row["who"] or "nobody"
        click.echo(f"{row['version']}: {row['kind']} by {author} at {row['by']}: {row['why']}")
        for line in row["difference"]:
            click.echo(f"    {line}")
