"""The session commands of common clients, one by one, and redis-py with its default settings."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
import redis
import redis.asyncio

from pebblepass.daemon.session_commands import ClientSession, answer_session_command
from pebblepass.wire.resp import UnknownCommandError
from tests.sockets import MISS, Client, Peer, RunningRouter, bulk, hit, http_answer, running_router

INFO = "c=get,t=acme,d=5000"


def reply_to(text: str, client: ClientSession | None = None, ready: bool = True) -> bytes:
    return answer_session_command(text.encode().split(), client or ClientSession(7), ready, connected=3)


@pytest.mark.parametrize(
    ("text", "answer"),
    [
        ("PING", b"+PONG\r\n"),
        ("ping hello", b"$5\r\nhello\r\n"),
        ("ECHO hello", b"$5\r\nhello\r\n"),
        ("CLIENT ID", b":7\r\n"),
        ("CLIENT GETNAME", b"$-1\r\n"),
        ("CLIENT SETNAME me", b"+OK\r\n"),
        ("CLIENT SETINFO LIB-NAME redis-py", b"+OK\r\n"),
        ("client setinfo lib-ver 8.1.0", b"+OK\r\n"),
        ("SELECT 0", b"+OK\r\n"),
        ("SELECT 1", b"-ERR DB index is out of range\r\n"),
        ("COMMAND", b"*0\r\n"),
        ("COMMAND DOCS", b"*0\r\n"),
        ("COMMAND COUNT", b":0\r\n"),
        ("AUTH secret", b"-ERR AUTH called without any password configured\r\n"),
        ("HELLO 3 AUTH default secret", b"-ERR AUTH called without any password configured\r\n"),
        ("HELLO 4", b"-NOPROTO unsupported protocol version\r\n"),
        ("HELLO three", b"-NOPROTO unsupported protocol version\r\n"),
        ("HELLO 2 SETNAME", b"-ERR syntax error in HELLO\r\n"),
        ("HELLO 2 NOSUCH me", b"-ERR syntax error in HELLO\r\n"),
        ("RESET", b"+RESET\r\n"),
        ("QUIT", b"+OK\r\n"),
        ("ECHO", b"-ERR wrong number of arguments for 'echo' command\r\n"),
        ("CLIENT KILL 3", b"-ERR unknown subcommand or wrong number of arguments for 'client' command\r\n"),
    ],
)
def test_session_commands_get_their_replies(text: str, answer: bytes) -> None:
    assert reply_to(text) == answer


@pytest.mark.parametrize("text", ["FLUSHALL", "GET k", "MGET a b", "KV.DEL k", "SUBSCRIBE x"])
def test_unknown_command_raises_an_error(text: str) -> None:
    with pytest.raises(UnknownCommandError):
        reply_to(text)


def test_hello_replies_in_the_protocol_version_that_it_sets() -> None:
    client = ClientSession(7)
    two, three = reply_to("HELLO 2", client), reply_to("HELLO 3 SETNAME me", client)
    assert two.startswith(b"*14\r\n")
    assert b"$5\r\nproto\r\n:2\r\n" in two
    assert three.startswith(b"%7\r\n")
    assert b"$5\r\nproto\r\n:3\r\n" in three
    assert (client.protocol, client.name) == (3, b"me")
    assert reply_to("CLIENT GETNAME", client) == b"$2\r\nme\r\n"
    assert reply_to("COMMAND DOCS", client) == b"%0\r\n"
    reply_to("RESET", client)
    assert (client.protocol, client.name) == (2, b"")


def test_failed_hello_leaves_the_session_unchanged() -> None:
    client = ClientSession(7)
    for text in ("HELLO 9", "HELLO 3 AUTH a b", "HELLO 3 SETNAME", "HELLO 3 SETNAME é"):
        assert reply_to(text, client).startswith(b"-")
        assert (client.protocol, client.name) == (2, b"")


def test_router_without_an_endpoint_list_reports_loading() -> None:
    assert reply_to("PING", ready=False) == b"-LOADING no list of servers yet\r\n"
    assert b"\r\nloading:1\r\n" in reply_to("INFO", ready=False)
    assert b"\r\nloading:0\r\n" in reply_to("INFO server")


@pytest.fixture
def running(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Iterator[RunningRouter]:
    """A router with multi-gets, over one node that has every key but `none`, which the store lacks too."""
    operator = tmp_path / "operator.toml"
    operator.write_text("[many_keys]\n")
    monkeypatch.setenv("PEBBLEPASS_OPERATOR", str(operator))

    def node(_: object, words: list[bytes]) -> bytes:
        return MISS if words[1] == b"none" else hit(b"of " + words[1])

    def store(_: object, message: list[bytes]) -> bytes:
        return http_answer(404)

    with running_router(tmp_path, {"s0": Peer(node)}, Peer(store, is_http=True)) as router:
        yield router


def multi_get(connection: Any, *keys: str, request: str = "q") -> Any:
    return connection.execute_command("KV.MGET", len(keys), *keys, request, INFO)


@pytest.mark.parametrize("protocol", [None, 2, 3])
def test_redis_py_with_default_settings(running: RunningRouter, protocol: int | None) -> None:
    options: dict[str, Any] = {} if protocol is None else {"protocol": protocol}
    with redis.Redis(port=running.port, client_name="me", **options) as client:
        assert client.ping()
        assert client.client_getname() in (b"me", "me")
        assert client.echo("x") == b"x"
        assert client.info()["server_name"] == "pebblepass"
        assert client.execute_command("KV.GET", "k", "r1", INFO) == b"of k"
        assert client.execute_command("KV.GET", "none", "r2", INFO) is None
        assert multi_get(client, "a", "none", "b", "a") == [b"of a", None, b"of b", b"of a"]
        with pytest.raises(redis.ResponseError, match="unknown command"):
            client.flushall()
        with pytest.raises(redis.ResponseError, match="expected 2 keys"):
            client.execute_command("KV.MGET", 2, "a", "q", INFO)


def test_redis_py_with_a_pool_and_pipelines(running: RunningRouter) -> None:
    pool = redis.ConnectionPool(port=running.port, max_connections=4)
    with redis.Redis(connection_pool=pool) as client:
        pipe = client.pipeline(transaction=False)
        for number in range(10):
            pipe.execute_command("KV.GET", f"k{number}", f"p{number}", INFO)
        multi_get(pipe, "x", "y", request="m")
        answers = pipe.execute()
        assert answers == [*[b"of k%d" % number for number in range(10)], [b"of x", b"of y"]]
    pool.disconnect()


def test_redis_py_in_asyncio(running: RunningRouter) -> None:
    async def run() -> None:
        async with redis.asyncio.Redis(port=running.port) as client:
            assert await client.ping()
            results = await asyncio.gather(*(multi_get(client, "a", "b", request=f"q{n}") for n in range(8)))
            assert results == [[b"of a", b"of b"]] * 8

    asyncio.run(run())


def test_quit_after_hello_closes_the_connection(running: RunningRouter) -> None:
    client = Client(running.port)
    client.send(bulk(b"HELLO", b"2") + bulk(b"QUIT"))
    assert client.read_reply() == b"*14"
    rest = client.stream.read()
    assert rest.endswith(b"+OK\r\n")
    assert client.at_end()


def test_unconfigured_multi_get_is_unknown_and_a_long_one_is_rejected(tmp_path: Path) -> None:
    with running_router(tmp_path, {"s0": Peer(lambda _, words: hit(b"v"))}) as running:
        client = running.client()
        assert client.request(bulk(b"KV.MGET", b"1", b"a", b"q", INFO.encode())) == b"-ERR unknown command"
        assert client.request(bulk(b"KV.MGET", b"20", *[b"a"] * 20, b"q", INFO.encode())).startswith(
            b"-ERR Protocol error"
        )
