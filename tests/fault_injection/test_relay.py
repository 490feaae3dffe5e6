"""The relay: places that dial, delays, cuts."""

from __future__ import annotations

import socket
import time

from pebblepass.fault_injection.relay import LOOPBACK, Relays

DELAY_S = 0.2


def test_a_delay_holds_one_direction_and_keeps_the_order() -> None:
    with socket.create_server((LOOPBACK, 0)) as listener:
        relays = Relays({"c0": listener.getsockname()[1]}, ["near", "far"])
        relays.delay(DELAY_S, ("far", "c0"))
        try:
            for place, least in (("near", 0.0), ("far", DELAY_S)):
                with socket.create_connection((LOOPBACK, relays.port(place, "c0"))) as here:
                    there, _ = listener.accept()
                    begun = time.monotonic()
                    for number in range(50):
                        here.sendall(b"%03d" % number)
                    read = b""
                    while len(read) < 150:
                        read += there.recv(4096)
                    assert read == b"".join(b"%03d" % number for number in range(50))
                    assert time.monotonic() - begun >= least
                    there.sendall(b"back")
                    assert here.recv(4) == b"back"
                    there.close()
        finally:
            relays.close()
