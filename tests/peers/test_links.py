"""Links: unknown peers, other fleets and invalid data are rejected; a lost link is dialled again."""

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


class LinkEnd:
    """One router's links, and the messages received on them."""

    def __init__(self, loop: asyncio.AbstractEventLoop, name: str, fleet: str = "sofia") -> None:
        self.received: list[tuple[str, bytes]] = []
        self.links = Links(loop, fleet, name, f"{name}.1", self._receive, lambda other: other in ("r0", "r1"))

    def _receive(self, name: str, data: bytes) -> None:
        if data == b"broken":
            raise ValueError("broken")
        self.received.append((name, data))

    async def listen(self, port: int = 0) -> int:
        await self.links.listen(("127.0.0.1", port))
        assert self.links._server is not None
        return int(self.links._server.sockets[0].getsockname()[1])


async def until(check: Any) -> None:
    for _ in range(2000):
        if check():
            return
        await asyncio.sleep(0.01)
    raise AssertionError("the condition did not become true")


def test_link_carries_both_directions_and_is_dialled_again() -> None:
    async def main(loop: VirtualLoop) -> None:
        acceptor, dialler = LinkEnd(loop, "r0"), LinkEnd(loop, "r1")
        port = await acceptor.listen()
        dialler.links.dial({"r0": f"127.0.0.1:{port}"})
        await until(lambda: "r1" in acceptor.links._accepted and "r0" in dialler.links._dialled)
        dialler.links.send("r0", b"up")
        acceptor.links.send("r1", b"down" * 50_000)
        await until(lambda: acceptor.received and dialler.received)
        assert acceptor.received == [("r1", b"up")]
        assert dialler.received == [("r0", b"down" * 50_000)]
        first = acceptor.links._accepted["r1"]
        first.close()
        await until(lambda: acceptor.links._accepted.get("r1") not in (None, first))
        dialler.links.dial({})  # r0 is no longer a voter
        await until(lambda: not acceptor.links._accepted)
        for end in (acceptor, dialler):
            end.links.close()

    run_virtual(main)


@pytest.mark.parametrize(
    ("data", "reason"),
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
def test_link_of_invalid_peer_is_closed_and_counted(data: bytes, reason: str) -> None:
    async def main(loop: VirtualLoop) -> None:
        end = LinkEnd(loop, "r0")
        reader, writer = await asyncio.open_connection("127.0.0.1", await end.listen())
        writer.write(data)
        with contextlib.suppress(ConnectionError):
            while await reader.read(4096):
                pass  # discards the router's hello
        await until(lambda: end.links.closed[reason] == 1)
        assert end.received == []
        writer.close()
        end.links.close()

    run_virtual(main)


def test_messages_keep_their_order_over_two_links() -> None:
    """If an older message arrived after a newer one, it would overwrite the newer state."""

    async def main(loop: VirtualLoop) -> None:
        ends = {name: LinkEnd(loop, name) for name in ("r0", "r1")}
        ports = {name: await end.listen() for name, end in ends.items()}
        for name, end in ends.items():
            end.links.dial({other: f"127.0.0.1:{port}" for other, port in ports.items() if other != name})
        await until(lambda: all(end.links._dialled and end.links._accepted for end in ends.values()))
        for source, to in (("r0", "r1"), ("r1", "r0")):
            for number in range(100):
                ends[source].links.send(to, b"%d" % number, f"{to}.1" if number % 2 else "")
                if number % 7 == 0:
                    await asyncio.sleep(0)
        await until(lambda: all(len(end.received) == 100 for end in ends.values()))
        for end in ends.values():
            assert [int(data) for _, data in end.received] == list(range(100))
            end.links.close()

    run_virtual(main)
