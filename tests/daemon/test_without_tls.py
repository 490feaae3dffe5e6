"""The router process does without OpenSSL: it would take 5 of the 32 MB that a router may have at least."""

from __future__ import annotations

from pathlib import Path

from tests.sockets import Peer, bulk, get, hit, http_answer, running_router


def test_router_process_maps_no_openssl(tmp_path: Path) -> None:
    """Guards against a process that uses most of the least memory before its first request."""
    caches, store = (
        {"a": Peer(lambda _, words: hit(words[2]))},
        Peer(lambda *_: http_answer(200), is_http=True),
    )
    with running_router(tmp_path, caches, store) as router:
        client = router.client()
        assert client.request(get("r1")) == b"r1"
        assert client.request(bulk(b"PING")) == b"+PONG"
        maps = Path(f"/proc/{router.process.pid}/maps").read_text()
        assert "libssl" not in maps
        assert "libcrypto" not in maps
        client.close()
