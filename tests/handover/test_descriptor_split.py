"""How many connections to servers the predecessor keeps during an upgrade."""

from __future__ import annotations

import pytest

from pebblepass.handover.descriptor_split import MIN_SERVER_CONNECTIONS, predecessor_server_limit


@pytest.mark.parametrize(
    ("limit", "needed", "open_requests", "exchanges", "expected"),
    [
        (62, 16, 80, 80, 16),  # one server, with as many connections as it may have
        (16, 16, 80, 80, 16),
        (16, 10, 10, 10, 10),  # nothing waits for the others any more
        (16, 4, 12, 4, 12),  # eight requests have not begun an exchange
        (16, 3, 2, 3, 3),  # an exchange of a request that is answered already
        (16, 0, 0, 0, MIN_SERVER_CONNECTIONS),
        (4, 16, 80, 80, 4),  # the successor has been told that it may use the others
    ],
)
def test_predecessor_keeps_what_its_requests_can_use(
    limit: int, needed: int, open_requests: int, exchanges: int, expected: int
) -> None:
    assert predecessor_server_limit(limit, needed, open_requests, exchanges) == expected
