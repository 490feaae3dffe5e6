"""Links: strangers, other fleets and garbage are closed and counted; a lost link is dialled again."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from typing import Any

import msgspec
import pytest

from pebblepass.peers.links import MAX_MESSAGE_BYTES, VERSION, Hello, Links, framed
from pebblepass.simulation.clock import VirtualLoop
from tests.virtual import run_virtual


class End:
    """One router's links, and what came."""

    def __init__(self, loop: asyncio.AbstractEventLoop, name: str, fleet: str = "sofia") -> None:
        self.came: list[tuple[str, bytes]] = []
        self.links = Links(loop, fleet, name, f"{name}.1", self._take, lambda other: other in ("r0", "r1"))

    def _take(self, name: str, data: bytes) -> None:
        if data == b"broken":
            raise ValueError("broken")
        self.came.append((name, data))

    async def listen(self, port: int = 0) -> int:
        await self.links.listen(("127.0.0.1", port))
        assert self.links._server is not None
        return int(self.links._server.sockets[0].getsockname()[1])


async def until(check: Any) -> None:
    for _ in range(2000):
        if check():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("never came")


def test_messages_travel_both_ways_on_one_link_and_a_lost_one_is_dialled_again() -> None:
    async def main(loop: VirtualLoop) -> None:
        one, two = End(loop, "r0"), End(loop, "r1")
        port = await one.listen()
        two.links.dial({"r0": f"127.0.0.1:{port}"})
        await until(lambda: "r1" in one.links._accepted and "r0" in two.links._dialled)
        two.links.send("r0", b"up")
        one.links.send("r1", b"down" * 50_000)
        await until(lambda: one.came and two.came)
        assert one.came == [("r1", b"up")]
        assert two.came == [("r0", b"down" * 50_000)]
        first = one.links._accepted["r1"]
        first.close()
        await until(lambda: one.links._accepted.get("r1") not in (None, first))
        two.links.dial({})  # a voter no longer
        await until(lambda: not one.links._accepted)
        for end in (one, two):
            end.links.close()

    run_virtual(main)


@pytest.mark.parametrize(
    ("said", "cause"),
    [
        (
            framed(msgspec.msgpack.encode(Hello("plovdiv", VERSION, "r1", "b"))),
            "of fleet 'plovdiv', version 1",
        ),
        (
            framed(msgspec.msgpack.encode(Hello("sofia", VERSION + 1, "r1", "b"))),
            "of fleet 'sofia', version 2",
        ),
        (framed(msgspec.msgpack.encode(Hello("sofia", VERSION, "r7", "b"))), "a stranger"),
        (framed(b"\x80\x04K\x01."), "no hello"),
        (struct.pack("<I", MAX_MESSAGE_BYTES + 1), "a message too long"),
        (b"GET / HTTP/1.1\r\n\r\n", "a message too long"),
        (
            framed(msgspec.msgpack.encode(Hello("sofia", VERSION, "r1", "b"))) + framed(b"broken"),
            "a message that can't be read",
        ),
        (b"", "no hello"),
    ],
)
def test_whoever_is_no_router_of_the_fleet_is_closed_and_counted(said: bytes, cause: str) -> None:
    async def main(loop: VirtualLoop) -> None:
        end = End(loop, "r0")
        reader, writer = await asyncio.open_connection("127.0.0.1", await end.listen())
        writer.write(said)
        with contextlib.suppress(ConnectionError):
            while await reader.read(4096):
                pass  # its hello
        await until(lambda: end.links.closed[cause] == 1)
        assert end.came == []
        writer.close()
        end.links.close()

    run_virtual(main)


def test_two_links_between_two_voters_carry_one_order() -> None:
    """An older message that came after a newer one would take back what that one told."""

    async def main(loop: VirtualLoop) -> None:
        ends = {name: End(loop, name) for name in ("r0", "r1")}
        ports = {name: await end.listen() for name, end in ends.items()}
        for name, end in ends.items():
            end.links.dial({other: f"127.0.0.1:{port}" for other, port in ports.items() if other != name})
        await until(lambda: all(end.links._dialled and end.links._accepted for end in ends.values()))
        for source, to in (("r0", "r1"), ("r1", "r0")):
            for number in range(100):
                ends[source].links.send(to, b"%d" % number, f"{to}.1" if number % 2 else "")
                if number % 7 == 0:
                    await asyncio.sleep(0)
        await until(lambda: all(len(end.came) == 100 for end in ends.values()))
        for end in ends.values():
            assert [int(data) for _, data in end.came] == list(range(100))
            end.links.close()

    run_virtual(main)
