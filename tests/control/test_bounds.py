"""A policy that adds 1,100 routers to a fleet fits into a request to the control address."""

from __future__ import annotations

import asyncio

from pebblepass.consensus.policy import read_policy
from pebblepass.control.control_server import LIMITS, MAX_POLICY_BYTES, ControlServer, ControlSources
from pebblepass.control.http_server import Page
from pebblepass.emulators.ports import take_port
from pebblepass.simulation.clock import VirtualLoop
from tests.virtual import run_virtual

ROUTERS = 1100
CHUNK_BYTES = 8 << 10


def policy_file() -> bytes:
    """Return a policy file with names and addresses as long as those of hosts in a large company."""
    names = [f"router-{number:04d}.cache.zone-a.region-1" for number in range(ROUTERS)]
    rows = "".join(f'"{name}" = "{name}.internal.example:7946"\n' for name in names)
    return f'who = "x"\nwhy = "y"\n[add]\n{rows}'.encode()


def post_policy(body: bytes, content_length: int) -> tuple[int, list[int]]:
    """Post a body in chunks; return the response status, and the number of added routers of each call.

    `content_length`: the value of the Content-Length header.
    """
    member_counts: list[int] = []

    async def fleet(method: str, path: str, body: bytes) -> Page | None:
        member_counts.append(len(read_policy("policy", body).added_members))
        return Page(200, b"{}")

    async def run(_: VirtualLoop) -> int:
        control = ControlServer(asyncio.get_running_loop(), ControlSources(lambda: True, list, fleet))
        reader, writer = await asyncio.open_connection(*await control.listen(("127.0.0.1", take_port())))
        writer.write(b"POST /control/policy/propose/c1 HTTP/1.1\r\nHost: o\r\n")
        writer.write(b"Content-Length: %d\r\n\r\n" % content_length)
        for offset in range(0, len(body), CHUNK_BYTES):
            writer.write(body[offset : offset + CHUNK_BYTES])
            await asyncio.sleep(0.01)
        status = int((await reader.read()).split()[1])
        writer.close()
        control.close()
        await asyncio.sleep(0)
        return status

    return run_virtual(run), member_counts


def test_policy_with_1100_routers_is_accepted() -> None:
    assert post_policy(policy_file(), len(policy_file())) == (200, [ROUTERS])


def test_policy_over_the_size_limit_is_rejected() -> None:
    assert post_policy(b"#" * (LIMITS.head_bytes + MAX_POLICY_BYTES), 1 << 30) == (400, [])
