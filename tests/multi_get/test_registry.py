"""Reads of many keys through a whole router, in virtual time: each hard case by itself."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest

from pebblepass.daemon.multi_get.registry import MultiGetRegistry
from pebblepass.operator_config import MultiGetSection
from tests.multi_get.deployment import (
    LONG_VALUE_BYTES,
    NETWORK_DELAY_S,
    Behavior,
    Deployment,
    always_ok,
    entry_labels,
    expected_values,
    run_on_deployment,
)

KEYS = [f"pkg/{number}" for number in range(60)]


def only(**fates: str) -> Behavior:
    """These keys have these fates everywhere (a key's slash is a `_` here); all others are served."""
    told = {name.replace("_", "/"): fate for name, fate in fates.items()}
    return lambda place, key, time: told.get(key, "ok")


def test_one_answer_in_the_order_asked_and_each_key_counted_once() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        assert entry_labels(await client.multi_get(KEYS)) == expected_values(KEYS)
        row = deployment.ledger_row()
        assert (row["taken"], row["served"], row["open"]) == (60, 60, 0)
        assert len(deployment.attempts) == 60

    run_on_deployment(test)


def test_the_same_key_500_times_is_fetched_once_and_answered_in_each_place() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        assert entry_labels(await client.multi_get(["a"] * 250 + ["b"] + ["a"] * 250)) == expected_values(
            ["a"] * 250 + ["b"] + ["a"] * 250
        )
        assert Counter(key for _, _, key, _ in deployment.attempts) == {"a": 1, "b": 1}
        assert deployment.ledger_row()["taken"] == 2

    run_on_deployment(test)


def test_a_node_that_times_out_while_others_answer_costs_its_keys_alone() -> None:
    def fate(place: str, key: str, time: int) -> str:
        return "silent" if place in ("s0", "store") else "ok"

    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        begun = deployment.loop.time()
        answer = entry_labels(await client.multi_get(KEYS, d=400))
        took = deployment.loop.time() - begun
        of_s0 = [key for _, place, key, _ in deployment.attempts if place == "s0"]
        assert len(of_s0) > 5
        # What s0 held is asked of the next node; the few that it was asked for first are late.
        not_served = {key for key, mark in zip(KEYS, answer, strict=True) if mark != f"{key} of q"}
        assert not_served <= set(of_s0)
        assert len(not_served) < len(KEYS) // 4
        assert took <= 0.4 - 0.025 + 2 * NETWORK_DELAY_S
        assert set(answer) - set(expected_values(KEYS)) <= {"late", "refused"}

    run_on_deployment(test, behavior=fate)


def test_a_withheld_key_is_late_before_the_deadline_and_nothing_is_sent_for_it_after() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        begun = deployment.loop.time()
        answer = entry_labels(await client.multi_get(["a", "b", "c"], d=500))
        assert (answer[0], answer[2]) == ("a of q", "c of q")
        assert answer[1] in ("late", "refused")
        assert deployment.loop.time() - begun < 0.5
        await deployment.settle()  # holds that no attempt begins after the answer

    run_on_deployment(test, behavior=only(b="silent"))


def test_a_node_draining_in_mid_read_gets_nothing_new_and_its_keys_are_served() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        client.send_multi_get(KEYS * 4, d=5000)
        await deployment.wait_until(lambda: len(deployment.attempts) >= 8)
        drained_at = deployment.loop.time()
        deployment.agent.change(deployment.entry(deployment.nodes[0], "draining"))
        assert entry_labels(await client.read_reply()) == expected_values(KEYS * 4)
        late = [at for at, place, _, _ in deployment.attempts if place == "s0" and at > drained_at + 0.5]
        assert late == []
        assert any(place != "s0" and at > drained_at for at, place, _, _ in deployment.attempts)

    section = MultiGetSection(keys_in_flight=8, part_keys=2, parts_of_server=1)
    run_on_deployment(test, behavior=lambda place, key, time: "slow0.1", section=section)


def test_a_node_that_answers_half_its_part_and_resets() -> None:
    broken: set[str] = set()

    def fate(place: str, key: str, time: int) -> str:
        if key == "pkg/20" and not broken:
            broken.add(place)
            return "reset"
        return "ok"

    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        assert entry_labels(await client.multi_get(KEYS)) == expected_values(KEYS)
        assert broken
        row = deployment.ledger_row()
        assert row["attempts"]["reset"] >= 1
        assert row["served"] == 60

    run_on_deployment(test, behavior=fate, nodes=2)


def test_all_nodes_down_and_every_key_is_marked_at_once() -> None:
    async def test(deployment: Deployment) -> None:
        for place in [*deployment.nodes, deployment.store]:
            place.refuse()
        client = await deployment.client()
        begun = deployment.loop.time()
        assert set(entry_labels(await client.multi_get(KEYS, d=1000))) == {"refused"}
        assert deployment.loop.time() - begun < 0.2
        row = deployment.ledger_row()
        assert (row["taken"], row["refused"], row["open"]) == (60, 60, 0)

    run_on_deployment(test)


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
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        client.send(b"KV.MGET", *words)
        assert str(await client.read_reply()) == f"ERR {said}"
        assert entry_labels(await client.multi_get(["a"])) == ["a of q"]  # the connection goes on
        assert deployment.ledger_row()["taken"] == 1

    run_on_deployment(test)


def test_what_clients_say_beside_requests_is_counted_nowhere() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
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
            await client.read_reply()
        assert deployment.ledger.export_rows() == []
        assert deployment.attempts == []
        assert entry_labels(await client.multi_get(["a", "none"])) == ["a of q", "miss"]

    def fate(place: str, key: str, time: int) -> str:
        return {"none": "none" if place == "store" else "miss"}.get(key, "ok")

    run_on_deployment(test, behavior=fate)


def test_an_id_that_is_open_is_turned_away_in_both_directions() -> None:
    async def test(deployment: Deployment) -> None:
        client, other = await deployment.client(), await deployment.client()
        client.send_multi_get(["a", "b"], "q", d=800)
        await deployment.wait_until(lambda: len(deployment.attempts) >= 2)
        assert str(await _said(other, "q")) == "ERR duplicate id"
        other.send_get("c", "q.1")
        assert str(await other.read_reply()) == "ERR duplicate id"
        other.send_get("d", "z.0", d=800)
        await deployment.wait_until(lambda: len(deployment.attempts) >= 3)
        assert str(await _said(await deployment.client(), "z")) == "ERR duplicate id"
        row = deployment.ledger_row()
        assert row["failed_by_reason"] == {"duplicate id": 3}

    async def _said(client: object, request: str) -> object:
        client.send_multi_get(["c"], request)  # type: ignore[attr-defined]
        return await client.read_reply()  # type: ignore[attr-defined]

    run_on_deployment(test, behavior=lambda place, key, time: "silent")


def test_a_client_gone_in_mid_gather_leaves_nothing_behind() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        client.send_multi_get(KEYS * 4, d=5000)
        await deployment.wait_until(lambda: len(deployment.attempts) >= 8)
        client.close()
        await deployment.wait_until(lambda: not deployment.host.open_request_count)
        asked = len(deployment.attempts)
        await asyncio.sleep(1)
        assert len(deployment.attempts) == asked
        row = deployment.ledger_row()
        assert (row["taken"], row["open"]) == (60, 0)
        assert row["gone"] + row["served"] == 60
        assert row["gone"] > 30

    section = MultiGetSection(keys_in_flight=8)
    run_on_deployment(test, behavior=lambda place, key, time: "slow0.1", section=section)


def test_sigterm_in_mid_gather_answers_all_of_it_first() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        client.send_multi_get(KEYS, d=1500)
        await deployment.wait_until(lambda: len(deployment.attempts) >= 8)
        draining = deployment.loop.create_task(deployment.daemon.drain())
        assert entry_labels(await client.read_reply()) == expected_values(KEYS)
        await draining

    run_on_deployment(test, behavior=lambda place, key, time: "slow0.1")


def test_a_value_of_4_mib_among_200_small_ones_is_streamed_in_its_place() -> None:
    keys = [f"k{number}" for number in range(200)]
    most = []

    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        client.send_multi_get(keys, d=5000)
        answer = deployment.loop.create_task(client.read_reply())
        many = deployment.host.many
        assert isinstance(many, MultiGetRegistry)
        while not answer.done():
            most.append(many.allocator.memory)
            await asyncio.sleep(0.0005)
        got = await answer
        assert entry_labels(got) == expected_values(keys)
        assert len(got[70]) == LONG_VALUE_BYTES
        # Gathered are the small ones; of the long one only what came in one piece before its turn.
        assert max(most) < 200 * (64 << 10) + (1 << 20)
        assert deployment.ledger_row()["bytes_served"] > LONG_VALUE_BYTES

    run_on_deployment(test, behavior=only(k70="long"))


def test_a_long_value_asked_twice_is_given_once_and_refused_in_its_other_place() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        assert entry_labels(await client.multi_get(["a", "b", "a"], d=5000)) == [
            "a of q",
            "b of q",
            "refused",
        ]

    run_on_deployment(test, behavior=only(a="long"))


def test_a_long_value_whose_turn_never_comes_is_late_and_its_connection_given_up() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        answer = entry_labels(await client.multi_get(["a", "b", "c"], d=800))
        assert answer[0] in ("late", "refused")
        assert answer[2] == "c of q"

    run_on_deployment(test, behavior=only(a="silent", b="long"), nodes=1)


def test_two_clients_that_read_the_same_missing_keys_share_their_fetches() -> None:
    async def test(deployment: Deployment) -> None:
        one, two = await deployment.client(), await deployment.client()
        one.send_multi_get(KEYS, "q", d=4000)
        two.send_multi_get(KEYS, "r", d=4000)
        assert entry_labels(await one.read_reply()) == expected_values(KEYS)
        answer = entry_labels(await two.read_reply())
        assert answer == expected_values(KEYS, "r")
        fetches = Counter(key for _, place, key, _ in deployment.attempts if place == "store")
        assert set(fetches.values()) == {1}  # stored by the first one's fetch, the second asks the node again

    stored: set[str] = set()

    def fate(place: str, key: str, time: int) -> str:
        if place == "store":
            stored.add(key)
            return "ok"
        return "ok" if key in stored else "miss"

    run_on_deployment(test, behavior=fate)


def test_500_misses_of_one_scan_have_four_fetches_out_at_a_time() -> None:
    keys = [f"scan/{number}" for number in range(500)]

    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        answer = Counter(
            mark if mark in ("refused", "late") else "served"
            for mark in entry_labels(await client.multi_get(keys, d=5000))
        )
        assert deployment.max_fetches_in_flight == 4
        assert answer["served"] > 100
        assert deployment.ledger_row()["taken"] == 500

    run_on_deployment(test, behavior=lambda place, key, time: "ok" if place == "store" else "miss")


def test_what_nobody_has_is_a_miss_also_for_those_that_wait_for_the_same_fetch() -> None:
    async def test(deployment: Deployment) -> None:
        one, two, three = [await deployment.client() for _ in range(3)]
        one.send_multi_get(["a", "b"], "q")
        two.send_multi_get(["b", "a"], "r")
        three.send_get("a", "s")
        assert entry_labels(await one.read_reply()) == ["miss", "b of q"]
        assert entry_labels(await two.read_reply()) == ["b of r", "miss"]
        assert await three.read_reply() is None
        assert sum(place == "store" and key == "a" for _, place, key, _ in deployment.attempts) == 1
        row = deployment.ledger_row()
        assert row["failed_by_reason"] == {"missing": 3}
        assert deployment.host._router.origin_limits.bad_fetch_fraction == 0

    def fate(place: str, key: str, time: int) -> str:
        return ("none" if key == "a" else "ok") if place == "store" else "miss"

    run_on_deployment(test, behavior=fate)


def test_a_publish_in_between_is_done_and_every_key_has_a_value() -> None:
    async def test(deployment: Deployment) -> None:
        client, writer = await deployment.client(), await deployment.client()
        client.send_multi_get(KEYS, d=3000)
        await deployment.wait_until(lambda: len(deployment.attempts) >= 4)
        writer.send(b"KV.SET", b"pkg/50", b"w", b"c=put,t=acme,d=1000,k=5c", b"new")
        assert await writer.read_reply() is not None
        assert entry_labels(await client.read_reply()) == expected_values(KEYS)

    run_on_deployment(test, behavior=lambda place, key, time: "ok" if place == "store" else "slow0.05")


def test_a_node_that_speaks_the_command_is_asked_once_for_many_keys() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        answer = entry_labels(await client.multi_get(KEYS))
        assert answer == expected_values(KEYS)
        assert 0 < deployment.multi_get_count < 20

    run_on_deployment(test, section=MultiGetSection(node_kinds=("std",)))


def test_a_node_that_speaks_the_command_and_withholds_a_key_costs_that_key_alone() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        answer = entry_labels(await client.multi_get(KEYS, d=3000))
        assert [mark for mark, value in zip(answer, expected_values(KEYS), strict=True) if mark != value] in (
            ["late"],
            ["refused"],
        )
        assert answer[33] in ("late", "refused")

    run_on_deployment(test, behavior=only(pkg_33="silent"), section=MultiGetSection(node_kinds=("std",)))


def test_a_client_that_stops_reading_stops_its_own_gathering_only() -> None:
    keys = [f"k{number}" for number in range(200)]

    async def test(deployment: Deployment) -> None:
        stalled, other = await deployment.client(), await deployment.client()
        stalled.writer.transport.pause_reading()  # type: ignore[attr-defined]
        stalled.send_multi_get(keys, "q", d=900)
        await asyncio.sleep(0.3)
        asked = len(deployment.attempts)
        assert asked < 200
        assert entry_labels(await other.multi_get(["a", "b"], "r")) == expected_values(["a", "b"], "r")
        stalled.writer.transport.resume_reading()  # type: ignore[attr-defined]
        answer = await stalled.read_reply()
        assert len(answer) == 200

    run_on_deployment(test, behavior=lambda place, key, time: "ok" if key in "ab" else "long", memory_mb=32)


def test_commands_past_the_bound_are_refused_whole_and_counted_by_key() -> None:
    async def test(deployment: Deployment) -> None:
        one, two = await deployment.client(), await deployment.client()
        one.send_multi_get(["a"], "q", d=500)
        await deployment.wait_until(lambda: len(deployment.attempts) == 1)
        two.send_multi_get(["b", "c"], "r")
        assert str(await two.read_reply()) == "BUSY"
        await one.read_reply()
        assert deployment.ledger_row()["refused_by_reason"]["commands of many keys"] == 2

    run_on_deployment(test, behavior=lambda place, key, time: "silent", section=MultiGetSection(commands=1))


def test_the_last_slow_key_has_a_second_copy_within_the_budget() -> None:
    slow = {"pkg/59"}

    def fate(place: str, key: str, time: int) -> str:
        return "slow0.6" if key in slow and time == 1 else "ok"

    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        for number in range(4):  # so that the nodes' pace is known, and a copy is saved up
            await client.multi_get([f"warm/{number}/{key}" for key in range(60)], f"w{number}")
        begun = deployment.loop.time()
        assert entry_labels(await client.multi_get(KEYS, "q", d=3000)) == expected_values(KEYS)
        assert deployment.loop.time() - begun < 0.4
        assert Counter(key for _, _, key, _ in deployment.attempts)["pkg/59"] == 2
        many = deployment.host.many
        assert isinstance(many, MultiGetRegistry)
        assert many.hedges.spent == 1

    run_on_deployment(test, behavior=fate)


def test_without_leave_for_second_copies_there_are_none() -> None:
    async def test(deployment: Deployment) -> None:
        client = await deployment.client()
        for number in range(4):
            await client.multi_get([f"warm/{number}/{key}" for key in range(60)], f"w{number}")
        many = deployment.host.many
        assert isinstance(many, MultiGetRegistry)
        assert many.hedges.spent == 0

    run_on_deployment(test, behavior=always_ok, ceilings={"secondCopies": False})
