"""The relay: groups of sources, and delays."""

from __future__ import annotations

import socket
import time

from pebblepass.fault_injection.relay import LOOPBACK, LinkRelays

DELAY_S = 0.2


def test_delay_applies_to_one_direction_and_keeps_byte_order() -> None:
    with socket.create_server((LOOPBACK, 0)) as listener:
        relays = LinkRelays({"c0": listener.getsockname()[1]}, ["near", "far"])
        relays.delay(DELAY_S, ("far", "c0"))
        try:
            for source, min_delay_s in (("near", 0.0), ("far", DELAY_S)):
                with socket.create_connection((LOOPBACK, relays.port(source, "c0"))) as client:
                    server, _ = listener.accept()
                    started = time.monotonic()
                    for number in range(50):
                        client.sendall(b"%03d" % number)
                    received = b""
                    while len(received) < 150:
                        received += server.recv(4096)
                    assert received == b"".join(b"%03d" % number for number in range(50))
                    assert time.monotonic() - started >= min_delay_s
                    server.sendall(b"back")
                    assert client.recv(4) == b"back"
                    server.close()
        finally:
            relays.close()
