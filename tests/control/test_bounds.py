"""A policy that takes 1,100 routers into a fleet reaches the fleet whole."""

from __future__ import annotations

import asyncio

from pebblepass.consensus.policy import read_policy
from pebblepass.control.control_server import LIMITS, MAX_POLICY_BYTES, ControlServer, ControlSources
from pebblepass.control.http_server import Page
from pebblepass.emulators.ports import take_port
from pebblepass.simulation.clock import VirtualLoop
from tests.virtual import run_virtual

ROUTERS = 1100
PIECE = 8 << 10


def policy() -> bytes:
    """With names and addresses as long as hosts of a large company have them."""
    names = [f"router-{number:04d}.cache.zone-a.region-1" for number in range(ROUTERS)]
    rows = "".join(f'"{name}" = "{name}.internal.example:7946"\n' for name in names)
    return f'who = "x"\nwhy = "y"\n[add]\n{rows}'.encode()


def posted(body: bytes, promised: int) -> tuple[int, list[int]]:
    """The status of the answer, and the routers that the fleet was asked to take in.

    The body comes in pieces, as over a network; `promised`: the length that its head names.
    """
    taken: list[int] = []

    async def fleet(method: str, path: str, body: bytes) -> Page | None:
        taken.append(len(read_policy("policy", body).added_members))
        return Page(200, b"{}")

    async def play(_: VirtualLoop) -> int:
        control = ControlServer(asyncio.get_running_loop(), ControlSources(lambda: True, list, fleet))
        reader, writer = await asyncio.open_connection(*await control.listen(("127.0.0.1", take_port())))
        writer.write(b"POST /control/policy/propose/c1 HTTP/1.1\r\nHost: o\r\n")
        writer.write(b"Content-Length: %d\r\n\r\n" % promised)
        for at in range(0, len(body), PIECE):
            writer.write(body[at : at + PIECE])
            await asyncio.sleep(0.01)
        status = int((await reader.read()).split()[1])
        writer.close()
        control.close()
        await asyncio.sleep(0)
        return status

    return run_virtual(play), taken


def test_a_policy_may_name_1100_routers() -> None:
    assert posted(policy(), len(policy())) == (200, [ROUTERS])


def test_a_policy_without_an_end_is_refused() -> None:
    assert posted(b"#" * (LIMITS.head_bytes + MAX_POLICY_BYTES), 1 << 30) == (400, [])
