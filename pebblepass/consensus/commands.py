"""`pebblepass policy`: propose, withdraw, and what a fleet holds, asked of any one router."""

from __future__ import annotations

import http.client
import os
import sys
import tomllib
from pathlib import Path
from typing import Any

import click
import msgspec

from pebblepass.consensus.policy import PolicyError, read_policy
from pebblepass.wire.address import parse_address

EXIT_REFUSED, EXIT_USAGE, EXIT_OPEN = 1, 2, 3
PATIENCE_S = 40.0  # a router answers within 30


class NoAnswerError(Exception):
    """The router could not be asked; the text is one plain line."""


def ask(router: str, method: str, call: str, body: bytes = b"") -> tuple[int, Any]:
    """One call of a router's control address: the status and what it told; raises NoAnswerError."""
    host, port = parse_address("--router", router)
    connection = http.client.HTTPConnection(host, port, timeout=PATIENCE_S)
    try:
        connection.request(method, f"/control/policy/{call}", body)
        answer = connection.getresponse()
        data = answer.read()
        return answer.status, msgspec.json.decode(data) if answer.status != 404 else None
    except (OSError, http.client.HTTPException, msgspec.DecodeError) as error:
        raise NoAnswerError(f"{router}: {error or type(error).__name__}") from None
    finally:
        connection.close()


def _asked(router: str, method: str, call: str, body: bytes = b"") -> tuple[int, Any]:
    try:
        status, told = ask(router, method, call, body)
    except (NoAnswerError, ValueError) as error:
        _stop(str(error))
    if told is None:
        _stop(f"{router} belongs to no fleet: it has no [fleet] section")
    return status, told


def _stop(line: str) -> Any:
    click.echo(f"pebblepass: {line}", err=True)
    sys.exit(EXIT_USAGE)


_router = click.option("--router", required=True, help="HOST:PORT of a router's control address.")
_json = click.option("--json", "as_json", is_flag=True, help="As JSON.")


@click.group()
def policy() -> None:
    """What all routers of a fleet hold alike."""


def _conclude(told: dict[str, Any], as_json: bool) -> None:
    if as_json:
        click.echo(msgspec.json.encode(told).decode())
    else:
        for line in told["lines"]:
            click.echo(line)
        if told["state"] != "in force" and "change" in told:
            click.echo(f"change {told['change']}")
    sys.exit({"in force": 0, "refused": EXIT_REFUSED}.get(told["state"], EXIT_OPEN))


@policy.command()
@click.argument("file", type=click.Path(path_type=Path))
@_router
@click.option("--change", help="The id of the change; the same one asked again is the same change.")
@_json
def propose(file: Path, router: str, change: str | None, as_json: bool) -> None:
    """Propose the policy in FILE. Exit code 0: in force; 1: refused; 2: wrong usage; 3: open."""
    try:
        data = file.read_bytes()
        read_policy(str(file), data)
    except OSError as error:
        _stop(f"{file}: {error.strerror}")
    except (PolicyError, tomllib.TOMLDecodeError) as error:
        _stop(str(error))
    _conclude(_asked(router, "POST", f"propose/{change or os.urandom(6).hex()}", data)[1], as_json)


@policy.command()
@click.argument("change")
@_router
@click.option("--who", default="", help="Who withdraws it.")
@_json
def withdraw(change: str, router: str, who: str, as_json: bool) -> None:
    """Withdraw CHANGE, if it is not decided yet. Exit codes as with `propose`."""
    _conclude(_asked(router, "POST", f"withdraw/{change}", who.encode())[1], as_json)


@policy.command()
@_router
@_json
def status(router: str, as_json: bool) -> None:
    """What a router holds, and the others as it sees them."""
    told = _asked(router, "GET", "status")[1]
    if as_json:
        click.echo(msgspec.json.encode(told).decode())
        return
    lease = f"in force for {told['lease_ms']} ms" if told["in_force"] else "not in force here: at the floor"
    click.echo(f"{told['router']}: version {told['version']}, {lease}")
    shares = told.get("shares", {})
    if shares.get("on"):
        held = ", ".join(f"{name} {amount:.4g} a second" for name, amount in shares["per_s"].items())
        click.echo(
            f"beyond its floors: {held or 'nothing'}" + (f"; {shares['why']}" if shares["why"] else "")
        )
    if told["problem"]:
        click.echo(f"it can't be used here: {told['problem']}")
    if told["open"]:
        click.echo(f"open: change {told['open']}")
    click.echo(f"voters: {', '.join(told['voters'])}; {told['needed']} decide")
    for name, row in told["routers"].items():
        age = "" if row.get("age_ms", 0) <= 0 else f", heard {row['age_ms']} ms ago"
        click.echo(f"{name}: {row.get('state', 'unknown')}, under version {row['version']}{age}")


@policy.command()
@_router
@_json
def history(router: str, as_json: bool) -> None:
    """The last versions, the newest first: who, why, and what changed."""
    told = _asked(router, "GET", "history")[1]
    if as_json:
        click.echo(msgspec.json.encode(told).decode())
        return
    for row in told:
        click.echo(
            f"{row['version']}: {row['kind']} by {row['who'] or 'nobody'} at {row['by']}: {row['why']}"
        )
        for line in row["difference"]:
            click.echo(f"    {line}")
