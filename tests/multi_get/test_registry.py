"""Reads of many keys through a whole router, in virtual time: each hard case by itself."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from pebblepass.daemon.multi_get.registry import MultiGetRegistry
from pebblepass.operator_config import MultiGetSection
from tests.multi_get.site import LONG, WAY_S, Fate, Site, marks, on_site, values, well

KEYS = [f"pkg/{number}" for number in range(60)]


def only(**fates: str) -> Fate:
    """These keys have these fates everywhere (a key's slash is a `_` here); all others are served."""
    told = {name.replace("_", "/"): fate for name, fate in fates.items()}
    return lambda place, key, time: told.get(key, "ok")


def test_one_answer_in_the_order_asked_and_each_key_counted_once() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        assert marks(await client.many(KEYS)) == values(KEYS)
        row = site.row()
        assert (row["taken"], row["served"], row["open"]) == (60, 60, 0)
        assert len(site.attempts) == 60

    on_site(test)


def test_the_same_key_500_times_is_fetched_once_and_answered_in_each_place() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        assert marks(await client.many(["a"] * 250 + ["b"] + ["a"] * 250)) == values(
            ["a"] * 250 + ["b"] + ["a"] * 250
        )
        assert Counter(key for _, _, key, _ in site.attempts) == {"a": 1, "b": 1}
        assert site.row()["taken"] == 2

    on_site(test)


def test_a_node_that_times_out_while_others_answer_costs_its_keys_alone() -> None:
    def fate(place: str, key: str, time: int) -> str:
        return "silent" if place in ("s0", "store") else "ok"

    async def test(site: Site) -> None:
        client = await site.client()
        begun = site.loop.time()
        answer = marks(await client.many(KEYS, d=400))
        took = site.loop.time() - begun
        of_s0 = [key for _, place, key, _ in site.attempts if place == "s0"]
        assert len(of_s0) > 5
        # What s0 held is asked of the next node; the few that it was asked for first are late.
        not_served = {key for key, mark in zip(KEYS, answer, strict=True) if mark != f"{key} of q"}
        assert not_served <= set(of_s0)
        assert len(not_served) < len(KEYS) // 4
        assert took <= 0.4 - 0.025 + 2 * WAY_S
        assert set(answer) - set(values(KEYS)) <= {"late", "refused"}

    on_site(test, fate=fate)


def test_a_withheld_key_is_late_before_the_deadline_and_nothing_is_sent_for_it_after() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        begun = site.loop.time()
        answer = marks(await client.many(["a", "b", "c"], d=500))
        assert (answer[0], answer[2]) == ("a of q", "c of q")
        assert answer[1] in ("late", "refused")
        assert site.loop.time() - begun < 0.5
        await site.settle()  # holds that no attempt begins after the answer

    on_site(test, fate=only(b="silent"))


def test_a_node_draining_in_mid_read_gets_nothing_new_and_its_keys_are_served() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        client.ask_many(KEYS * 4, d=5000)
        await site.until(lambda: len(site.attempts) >= 8)
        drained_at = site.loop.time()
        site.agent.change(site.entry(site.nodes[0], "draining"))
        assert marks(await client.answer()) == values(KEYS * 4)
        late = [at for at, place, _, _ in site.attempts if place == "s0" and at > drained_at + 0.5]
        assert late == []
        assert any(place != "s0" and at > drained_at for at, place, _, _ in site.attempts)

    section = MultiGetSection(keys_in_flight=8, part_keys=2, parts_of_server=1)
    on_site(test, fate=lambda place, key, time: "slow0.1", section=section)


def test_a_node_that_answers_half_its_part_and_resets() -> None:
    broken: set[str] = set()

    def fate(place: str, key: str, time: int) -> str:
        if key == "pkg/20" and not broken:
            broken.add(place)
            return "reset"
        return "ok"

    async def test(site: Site) -> None:
        client = await site.client()
        assert marks(await client.many(KEYS)) == values(KEYS)
        assert broken
        row = site.row()
        assert row["attempts"]["reset"] >= 1
        assert row["served"] == 60

    on_site(test, fate=fate, nodes=2)


def test_all_nodes_down_and_every_key_is_marked_at_once() -> None:
    async def test(site: Site) -> None:
        for place in [*site.nodes, site.store]:
            place.refuse()
        client = await site.client()
        begun = site.loop.time()
        assert set(marks(await client.many(KEYS, d=1000))) == {"refused"}
        assert site.loop.time() - begun < 0.2
        row = site.row()
        assert (row["taken"], row["refused"], row["open"]) == (60, 60, 0)

    on_site(test)


@pytest.mark.parametrize(
    ("words", "said"),
    [
        ((b"0", b"q", b"c=get,d=1"), "the count must lie between 1 and 1024"),
        ((b"x", b"k", b"q", b"c=get,d=1"), "the count must be a number"),
        ((b"2", b"k", b"q", b"c=get,d=1"), "expected 2 keys, an id and a list of names and values"),
        ((b"1025", *[b"k"] * 1025, b"q", b"c=get,d=1"), "the count must lie between 1 and 1024"),
        ((b"1", b"\xff\xfe", b"q", b"c=get,d=1"), "key must be text without spaces"),
        ((b"2", b"k", b"", b"q", b"c=get,d=1"), "key must be text without spaces"),
        ((b"2", b"k" * 40_000, b"l" * 30_000, b"q", b"c=get,d=1"), "more than 65536 bytes of words"),
        ((b"1", b"k", b"q", b"c=get"), "d must be a number of milliseconds"),
        ((b"1", b"k", b"q", b"d=5"), "c must name a class"),
        ((b"1", b"k", b"q", b"c=what,d=5"), "unknown class"),
        ((b"1", b"k", b"q", b"c=once,d=5"), "many keys are read in a class that is safe to repeat"),
        ((b"1", b"k"), "wrong number of arguments for KV.MGET"),
    ],
)
def test_a_list_that_cannot_be_used_is_one_line_and_takes_nothing(
    words: tuple[bytes, ...], said: str
) -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        client.send(b"KV.MGET", *words)
        assert str(await client.answer()) == f"ERR {said}"
        assert marks(await client.many(["a"])) == ["a of q"]  # the connection goes on
        assert site.row()["taken"] == 1

    on_site(test)


def test_what_clients_say_beside_requests_is_counted_nowhere() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        for text in (
            "HELLO 3",
            "CLIENT SETINFO LIB-NAME x",
            "SELECT 0",
            "PING",
            "COMMAND DOCS",
            "INFO",
            "NO",
        ):
            client.send(*text.encode().split())
            await client.answer()
        assert site.ledger.export_rows() == []
        assert site.attempts == []
        assert marks(await client.many(["a", "none"])) == ["a of q", "miss"]

    def fate(place: str, key: str, time: int) -> str:
        return {"none": "none" if place == "store" else "miss"}.get(key, "ok")

    on_site(test, fate=fate)


def test_an_id_that_is_open_is_turned_away_in_both_directions() -> None:
    async def test(site: Site) -> None:
        client, other = await site.client(), await site.client()
        client.ask_many(["a", "b"], "q", d=800)
        await site.until(lambda: len(site.attempts) >= 2)
        assert str(await _said(other, "q")) == "ERR duplicate id"
        other.ask_one("c", "q.1")
        assert str(await other.answer()) == "ERR duplicate id"
        other.ask_one("d", "z.0", d=800)
        await site.until(lambda: len(site.attempts) >= 3)
        assert str(await _said(await site.client(), "z")) == "ERR duplicate id"
        row = site.row()
        assert row["failed_by_reason"] == {"duplicate id": 3}

    async def _said(client: object, request: str) -> object:
        client.ask_many(["c"], request)  # type: ignore[attr-defined]
        return await client.answer()  # type: ignore[attr-defined]

    on_site(test, fate=lambda place, key, time: "silent")


def test_a_client_gone_in_mid_gather_leaves_nothing_behind() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        client.ask_many(KEYS * 4, d=5000)
        await site.until(lambda: len(site.attempts) >= 8)
        client.close()
        await site.until(lambda: not site.host.open_request_count)
        asked = len(site.attempts)
        await asyncio.sleep(1)
        assert len(site.attempts) == asked
        row = site.row()
        assert (row["taken"], row["open"]) == (60, 0)
        assert row["gone"] + row["served"] == 60
        assert row["gone"] > 30

    section = MultiGetSection(keys_in_flight=8)
    on_site(test, fate=lambda place, key, time: "slow0.1", section=section)


def test_sigterm_in_mid_gather_answers_all_of_it_first() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        client.ask_many(KEYS, d=1500)
        await site.until(lambda: len(site.attempts) >= 8)
        draining = site.loop.create_task(site.daemon.drain())
        assert marks(await client.answer()) == values(KEYS)
        await draining

    on_site(test, fate=lambda place, key, time: "slow0.1")


def test_a_value_of_4_mib_among_200_small_ones_is_streamed_in_its_place() -> None:
    keys = [f"k{number}" for number in range(200)]
    most = []

    async def test(site: Site) -> None:
        client = await site.client()
        client.ask_many(keys, d=5000)
        answer = site.loop.create_task(client.answer())
        many = site.host.multi_gets
        assert isinstance(many, MultiGetRegistry)
        while not answer.done():
            most.append(many.allocator.memory)
            await asyncio.sleep(0.0005)
        got = await answer
        assert marks(got) == values(keys)
        assert len(got[70]) == LONG
        # Gathered are the small ones; of the long one only what came in one piece before its turn.
        assert max(most) < 200 * (64 << 10) + (1 << 20)
        assert site.row()["bytes_served"] > LONG

    on_site(test, fate=only(k70="long"))


def test_a_long_value_asked_twice_is_given_once_and_refused_in_its_other_place() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        assert marks(await client.many(["a", "b", "a"], d=5000)) == ["a of q", "b of q", "refused"]

    on_site(test, fate=only(a="long"))


def test_a_long_value_whose_turn_never_comes_is_late_and_its_connection_given_up() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        answer = marks(await client.many(["a", "b", "c"], d=800))
        assert answer[0] in ("late", "refused")
        assert answer[2] == "c of q"

    on_site(test, fate=only(a="silent", b="long"), nodes=1)


def test_two_clients_that_read_the_same_missing_keys_share_their_fetches() -> None:
    async def test(site: Site) -> None:
        one, two = await site.client(), await site.client()
        one.ask_many(KEYS, "q", d=4000)
        two.ask_many(KEYS, "r", d=4000)
        assert marks(await one.answer()) == values(KEYS)
        answer = marks(await two.answer())
        assert answer == values(KEYS, "r")
        fetches = Counter(key for _, place, key, _ in site.attempts if place == "store")
        assert set(fetches.values()) == {1}  # stored by the first one's fetch, the second asks the node again

    stored: set[str] = set()

    def fate(place: str, key: str, time: int) -> str:
        if place == "store":
            stored.add(key)
            return "ok"
        return "ok" if key in stored else "miss"

    on_site(test, fate=fate)


def test_500_misses_of_one_scan_have_four_fetches_out_at_a_time() -> None:
    keys = [f"scan/{number}" for number in range(500)]

    async def test(site: Site) -> None:
        client = await site.client()
        answer = Counter(
            mark if mark in ("refused", "late") else "served"
            for mark in marks(await client.many(keys, d=5000))
        )
        assert site.most_fetching == 4
        assert answer["served"] > 100
        assert site.row()["taken"] == 500

    on_site(test, fate=lambda place, key, time: "ok" if place == "store" else "miss")


def test_what_nobody_has_is_a_miss_also_for_those_that_wait_for_the_same_fetch() -> None:
    async def test(site: Site) -> None:
        one, two, three = [await site.client() for _ in range(3)]
        one.ask_many(["a", "b"], "q")
        two.ask_many(["b", "a"], "r")
        three.ask_one("a", "s")
        assert marks(await one.answer()) == ["miss", "b of q"]
        assert marks(await two.answer()) == ["b of r", "miss"]
        assert await three.answer() is None
        assert sum(place == "store" and key == "a" for _, place, key, _ in site.attempts) == 1
        row = site.row()
        assert row["failed_by_reason"] == {"missing": 3}
        assert site.host._router.origin_limits.bad_fetch_fraction == 0

    def fate(place: str, key: str, time: int) -> str:
        return ("none" if key == "a" else "ok") if place == "store" else "miss"

    on_site(test, fate=fate)


def test_a_publish_in_between_is_done_and_every_key_has_a_value() -> None:
    async def test(site: Site) -> None:
        client, writer = await site.client(), await site.client()
        client.ask_many(KEYS, d=3000)
        await site.until(lambda: len(site.attempts) >= 4)
        writer.send(b"KV.SET", b"pkg/50", b"w", b"c=put,t=acme,d=1000,k=5c", b"new")
        assert await writer.answer() is not None
        assert marks(await client.answer()) == values(KEYS)

    on_site(test, fate=lambda place, key, time: "ok" if place == "store" else "slow0.05")


def test_a_node_that_speaks_the_command_is_asked_once_for_many_keys() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        answer = marks(await client.many(KEYS))
        assert answer == values(KEYS)
        assert 0 < site.as_one < 20

    on_site(test, section=MultiGetSection(node_kinds=("std",)))


def test_a_node_that_speaks_the_command_and_withholds_a_key_costs_that_key_alone() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        answer = marks(await client.many(KEYS, d=3000))
        assert [mark for mark, value in zip(answer, values(KEYS), strict=True) if mark != value] in (
            ["late"],
            ["refused"],
        )
        assert answer[33] in ("late", "refused")

    on_site(test, fate=only(pkg_33="silent"), section=MultiGetSection(node_kinds=("std",)))


def test_a_client_that_stops_reading_stops_its_own_gathering_only() -> None:
    keys = [f"k{number}" for number in range(200)]

    async def test(site: Site) -> None:
        stalled, other = await site.client(), await site.client()
        stalled.writer.transport.pause_reading()  # type: ignore[attr-defined]
        stalled.ask_many(keys, "q", d=900)
        await asyncio.sleep(0.3)
        asked = len(site.attempts)
        assert asked < 200
        assert marks(await other.many(["a", "b"], "r")) == values(["a", "b"], "r")
        stalled.writer.transport.resume_reading()  # type: ignore[attr-defined]
        answer = await stalled.answer()
        assert len(answer) == 200

    on_site(test, fate=lambda place, key, time: "ok" if key in "ab" else "long", memory_mb=32)


def test_commands_past_the_bound_are_refused_whole_and_counted_by_key() -> None:
    async def test(site: Site) -> None:
        one, two = await site.client(), await site.client()
        one.ask_many(["a"], "q", d=500)
        await site.until(lambda: len(site.attempts) == 1)
        two.ask_many(["b", "c"], "r")
        assert str(await two.answer()) == "BUSY"
        await one.answer()
        assert site.row()["refused_by_reason"]["commands of many keys"] == 2

    on_site(test, fate=lambda place, key, time: "silent", section=MultiGetSection(commands=1))


def test_the_last_slow_key_has_a_second_copy_within_the_budget() -> None:
    slow = {"pkg/59"}

    def fate(place: str, key: str, time: int) -> str:
        return "slow0.6" if key in slow and time == 1 else "ok"

    async def test(site: Site) -> None:
        client = await site.client()
        for number in range(4):  # so that the nodes' pace is known, and a copy is saved up
            await client.many([f"warm/{number}/{key}" for key in range(60)], f"w{number}")
        begun = site.loop.time()
        assert marks(await client.many(KEYS, "q", d=3000)) == values(KEYS)
        assert site.loop.time() - begun < 0.4
        assert Counter(key for _, _, key, _ in site.attempts)["pkg/59"] == 2
        many = site.host.multi_gets
        assert isinstance(many, MultiGetRegistry)
        assert many.hedges.spent == 1

    on_site(test, fate=fate)


def test_without_leave_for_second_copies_there_are_none() -> None:
    async def test(site: Site) -> None:
        client = await site.client()
        for number in range(4):
            await client.many([f"warm/{number}/{key}" for key in range(60)], f"w{number}")
        many = site.host.multi_gets
        assert isinstance(many, MultiGetRegistry)
        assert many.hedges.spent == 0

    on_site(test, fate=well, ceilings={"secondCopies": False})
