"""Tests of the connection pool alone, in this process, over loopback sockets: one for each fault found."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest

from pebblepass.daemon.caches import CacheConnection
from pebblepass.daemon.connection_pool import Pool
from pebblepass.daemon.exchange import Answer, Exchange, ValueSource
from pebblepass.daemon.origin import OriginConnection
from pebblepass.daemon.server_connection import MAX_CONNECTIONS_PER_SERVER, Connection
from pebblepass.decisions import Outcome
from pebblepass.emulators.ports import take_port
from pebblepass.simulation.clock import VirtualLoop
from pebblepass.wire import http, resp
from pebblepass.wire.address import Address
from tests.sockets import MISS, WAIT_TIMEOUT_S, hit, http_answer
from tests.virtual import run_virtual

Answers = Callable[[bytes], bytes]


class RecordingExchange(Exchange):
    """An exchange of one request, which records its outcome."""

    def __init__(self, name: bytes, is_http: bool = False) -> None:
        self.name, self._http = name, is_http
        self.future: asyncio.Future[tuple[Outcome, bytes | None]]
        self.future = asyncio.get_running_loop().create_future()

    def request_bytes(self, address: Address) -> bytes:
        if self._http:
            return http.request("GET", "/" + self.name.decode(), "origin")
        return resp.command(b"KV.GET", self.name, self.name, b"c=get,t=acme,d=1000")

    def handle_outcome(self, outcome: Outcome, answer: Answer) -> None:
        self.future.set_result((outcome, answer.value))

    async def result(self) -> tuple[Outcome, bytes | None]:
        return await asyncio.wait_for(asyncio.shield(self.future), WAIT_TIMEOUT_S)


class SlowClientExchange(RecordingExchange):
    """Its client stops reading at the value's last part, and reads again 50 ms later."""

    def value_started(self, length: int, source: ValueSource) -> None:
        self._left, self._source = length, source

    def value_received(self, data: bytes) -> None:
        self._left -= len(data)
        if not self._left:
            self._source.pause()
            asyncio.get_running_loop().call_later(0.05, self._resume_reading)

    def _resume_reading(self) -> None:
        if not self.is_over:
            self._source.resume()


class PoolHarness:
    """A pool with one server, whose answers come from `answer`; b"" means no answer."""

    def __init__(self, pool: Pool, is_http: bool) -> None:
        self.pool, self._http = pool, is_http
        self.answer: Answers = hit
        self.open_connections = self.accepted = 0
        self.seen: list[bytes] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        self.accepted += 1
        try:
            while data := await reader.read(65536):
                name = data.split()[1][1:] if self._http else data.split(b"\r\n")[4]
                self.seen.append(name)
                writer.write(self.answer(name))
        except OSError:
            pass
        finally:
            self.open_connections -= 1
            writer.close()

    async def request(self, name: bytes) -> tuple[Outcome, bytes | None]:
        return await self.submit(name).result()

    def submit(self, name: bytes) -> RecordingExchange:
        exchange = RecordingExchange(name, self._http)
        self.pool.submit("s1", exchange)
        return exchange


def run_with_pool(
    test: Callable[[PoolHarness], Awaitable[None]],
    is_http: bool = False,
    port: int = 0,
    in_virtual_time: bool = False,
) -> None:
    """Run a test over a pool with one server; if a port is given, nothing listens there."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        harness = PoolHarness(Pool(loop, 64, 5.0, 60.0), is_http)
        server = None if port else await asyncio.start_server(harness.serve, "127.0.0.1", 0)
        listening_port = server.sockets[0].getsockname()[1] if server is not None else port
        harness.pool.list_server(
            "s1", ("127.0.0.1", listening_port), OriginConnection if is_http else CacheConnection
        )
        try:
            await test(harness)
        finally:
            harness.pool.close()
            if server is not None:
                server.close()
            with suppress(TimeoutError):
                await asyncio.wait_for(wait_until(lambda: not harness.open_connections, "closed"), 1.0)

    if in_virtual_time:
        run_virtual(lambda _: run())
    else:
        asyncio.run(run())


async def wait_until(check: Callable[[], bool], description: str) -> None:
    """Wait until `check` holds."""
    deadline = asyncio.get_running_loop().time() + WAIT_TIMEOUT_S
    while not check():
        assert asyncio.get_running_loop().time() < deadline, f"timed out waiting: {description}"
        await asyncio.sleep(0.005)


def test_timed_out_attempt_closes_its_connection_and_frees_its_slot() -> None:
    async def test(harness: PoolHarness) -> None:
        harness.answer = lambda name: hit(name) if name == b"last" else b""
        silent = [harness.submit(b"r%d" % i) for i in range(MAX_CONNECTIONS_PER_SERVER)]
        await wait_until(lambda: len(harness.seen) == MAX_CONNECTIONS_PER_SERVER, "all attempts")
        for exchange in silent:
            exchange.give_up(Outcome.TIMEOUT)
        assert [(await exchange.result())[0] for exchange in silent] == [
            Outcome.TIMEOUT
        ] * MAX_CONNECTIONS_PER_SERVER
        await wait_until(
            lambda: not harness.open_connections, "the connections of the timed out attempts are closed"
        )
        assert await harness.request(b"last") == (Outcome.OK, b"last")

    run_with_pool(test)


def test_refused_connection_fails_the_attempt_that_waits_for_it() -> None:
    async def test(harness: PoolHarness) -> None:
        attempts = [harness.submit(b"r%d" % i) for i in range(3)]
        assert [(await exchange.result())[0] for exchange in attempts] == [Outcome.CONNECT_FAILED] * 3

    run_with_pool(test, port=take_port())


@pytest.mark.parametrize("host", ["x" * 80, "a..b", "\ud800"])
def test_attempt_at_an_invalid_host_fails_at_once(host: str) -> None:
    async def test(harness: PoolHarness) -> None:
        harness.pool.list_server("s1", (host, 80), CacheConnection)
        assert await harness.request(b"r") == (Outcome.CONNECT_FAILED, None)

    run_with_pool(test)


@pytest.mark.parametrize("trailing", [hit(b"copy"), b"\x00\xff noise\r\n", b"*3\r\n$", b"-ERR again\r\n"])
def test_cache_answer_with_trailing_bytes_counts_but_retires_connection(trailing: bytes) -> None:
    async def test(harness: PoolHarness) -> None:
        harness.answer = lambda name: hit(name) + trailing
        for i in range(3):
            assert await harness.request(b"r%d" % i) == (Outcome.OK, b"r%d" % i)
        assert harness.accepted == 3

    run_with_pool(test)


@pytest.mark.parametrize(
    "trailing", [http_answer(200, b"copy"), http_answer(500), b"\x00\xff noise", b"HTTP/1.1 2"]
)
def test_origin_answer_with_trailing_bytes_counts_but_retires_connection(trailing: bytes) -> None:
    async def test(harness: PoolHarness) -> None:
        harness.answer = lambda name: http_answer(200, name) + trailing
        for i in range(3):
            assert await harness.request(b"r%d" % i) == (Outcome.OK, b"r%d" % i)
        assert harness.accepted == 3

    run_with_pool(test, is_http=True)


def test_interim_answers_of_the_origin_are_skipped() -> None:
    async def test(harness: PoolHarness) -> None:
        interim = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n"
        harness.answer = lambda name: interim + http_answer(200, name)
        for i in range(3):
            assert await harness.request(b"r%d" % i) == (Outcome.OK, b"r%d" % i)
        assert harness.accepted == 1

    run_with_pool(test, is_http=True)


@pytest.mark.parametrize("announced", [3, 11, 19])
def test_value_of_a_wrong_length_is_not_served(announced: int) -> None:
    async def test(harness: PoolHarness) -> None:
        value = b"value+of\r\n"  # announced shorter or longer so that the rest can still be parsed
        invalid_answers = {
            3: b"*3\r\n$3\r\n" + value + b"$3\r\nhit\r\n$-1\r\n",
            11: b"*3\r\n$11\r\n" + value + b"$3:1\r\n$-1\r\n",
            19: b"*3\r\n$19\r\n" + value + b"$3\r\nhitxx$1\r\nx\r\n$-1\r\n",
        }
        harness.answer = lambda name: invalid_answers[announced]
        assert await harness.request(b"r") == (Outcome.ERROR, None)
        harness.answer = hit
        assert await harness.request(b"s") == (Outcome.OK, b"s")
        assert harness.accepted == 2

    run_with_pool(test)


@pytest.mark.parametrize(
    "header", [b"*1000000000\r\n", b"*3\r\n*3\r\n*3\r\n", b"*0\r\n", b"*3\r\n$\r\n", b"*3\r\n:1\r\n"]
)
def test_invalid_short_header_fails_at_once(header: bytes) -> None:
    async def test(harness: PoolHarness) -> None:
        harness.answer = lambda name: header
        assert await harness.request(b"r") == (Outcome.ERROR, None)

    run_with_pool(test)


@pytest.mark.parametrize(("answer", "outcome"), [(hit(b"value"), Outcome.OK), (MISS, Outcome.MISS)])
def test_answer_split_at_any_byte_is_parsed(answer: bytes, outcome: Outcome) -> None:
    async def test(harness: PoolHarness) -> None:
        harness.answer = lambda name: b""
        for cut in range(1, len(answer)):
            exchange = harness.submit(b"r%d" % cut)
            await wait_until(lambda it=exchange: it.connection is not None, "a connection")  # type: ignore[misc]
            connection = exchange.connection
            assert isinstance(connection, Connection)
            connection.data_received(answer[:cut])
            assert not exchange.is_over
            connection.data_received(answer[cut:])
            assert (await exchange.result())[0] is outcome

    run_with_pool(test)


def test_rejection_of_the_first_request_closes_its_connection() -> None:
    async def test(harness: PoolHarness) -> None:
        harness.answer = lambda _: b"-BUSY\r\n"
        for n in range(2):
            exchange = harness.submit(b"a%d" % n)
            assert await exchange.result() == (Outcome.OVERLOADED, None)
            assert exchange.connection_rejected
            assert harness.accepted == n + 1  # if it were kept, the first connection would be rejected again
        harness.answer = hit
        assert (await harness.request(b"b"))[0] is Outcome.OK
        harness.answer = lambda _: b"-BUSY\r\n"
        exchange = harness.submit(b"c")
        assert (await exchange.result())[0] is Outcome.OVERLOADED
        assert not exchange.connection_rejected  # the connection was accepted: this rejection means load

    run_with_pool(test)


def test_rejection_with_a_load_report_means_load() -> None:
    async def test(harness: PoolHarness) -> None:
        harness.answer = lambda _: b"-BUSY queue=9,latency_ms=40\r\n"
        exchange = harness.submit(b"a")
        assert (await exchange.result())[0] is Outcome.OVERLOADED
        assert not exchange.connection_rejected

    run_with_pool(test)


def test_rejected_further_connection_leaves_requests_to_the_accepted_one() -> None:
    async def test(harness: PoolHarness) -> None:
        harness.answer = lambda name: b"" if name == b"slow" else b"-BUSY\r\n"
        slow = harness.submit(b"slow")
        rejected = harness.submit(b"a")
        assert (await rejected.result())[0] is Outcome.OVERLOADED
        assert (rejected.connection_rejected, rejected.connection_failed) == (False, True)
        harness.answer = hit
        waiting = harness.submit(b"b")
        await asyncio.sleep(0)
        assert (harness.accepted, waiting.future.done()) == (2, False)  # no further dial
        slow.give_up(Outcome.TIMEOUT)
        assert (await waiting.result())[0] is Outcome.OK  # it does not wait forever

    run_with_pool(test)


def test_idle_connection_is_reused_until_its_server_may_close_it() -> None:
    async def work(loop: VirtualLoop) -> None:
        harness = PoolHarness(Pool(loop, 64, 5.0, 10.0), False)
        server = await asyncio.start_server(harness.serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()[:2]
        harness.pool.list_server("s1", (host, port), CacheConnection)
        for pause, dials in ((0.0, 1), (8.5, 1), (9.7, 2)):  # of virtual time
            await asyncio.sleep(pause)
            assert (await harness.request(b"a"))[0] is Outcome.OK
            assert harness.accepted == dials
        harness.pool.close()
        server.close()
        await server.wait_closed()

    run_virtual(work)


def test_rejection_means_load_if_servers_send_no_reports() -> None:
    async def test(harness: PoolHarness) -> None:
        harness.pool.reports = False
        harness.answer = lambda name: b"" if name == b"slow" else b"-BUSY\r\n"
        slow = harness.submit(b"slow")
        for name in (b"a", b"b"):
            exchange = harness.submit(name)
            assert (await exchange.result())[0] is Outcome.OVERLOADED
            assert (exchange.connection_rejected, exchange.connection_failed) == (False, False)
        assert harness.accepted == 2  # the rejected connection is kept
        slow.give_up(Outcome.TIMEOUT)

    run_with_pool(test)


@pytest.mark.parametrize("is_http", [False, True])
def test_reading_resumes_after_a_value_that_its_client_read_late(is_http: bool) -> None:
    async def test(harness: PoolHarness) -> None:
        value = bytes(100_000)
        harness.answer = lambda name: http_answer(200, value) if is_http else hit(value)
        exchange = SlowClientExchange(b"long", is_http)
        harness.pool.submit("s1", exchange)
        assert (await exchange.result())[0] is Outcome.OK
        harness.answer = lambda name: http_answer(200, name) if is_http else hit(name)
        await asyncio.sleep(0.02)  # by then it can be reused
        assert await asyncio.wait_for(harness.request(b"next"), 2.0) == (Outcome.OK, b"next")
        assert harness.accepted == 1

    run_with_pool(test, is_http=is_http)


def test_connections_that_rest_are_needed_while_exchanges_wait_for_them() -> None:
    async def test(harness: PoolHarness) -> None:
        pool, waiting = harness.pool, 5
        exchanges = [harness.submit(b"r%d" % i) for i in range(MAX_CONNECTIONS_PER_SERVER + waiting)]
        assert (pool.needed_connections, pool.exchange_count) == (MAX_CONNECTIONS_PER_SERVER, len(exchanges))
        for exchange in exchanges[:MAX_CONNECTIONS_PER_SERVER]:
            await exchange.result()
        # All of them rest now; the others wait.
        assert (pool.busy, pool.needed_connections, pool.exchange_count) == (0, waiting, waiting)
        for exchange in exchanges:
            await exchange.result()
        assert (pool.needed_connections, pool.exchange_count) == (0, 0)

    run_with_pool(test, in_virtual_time=True)
