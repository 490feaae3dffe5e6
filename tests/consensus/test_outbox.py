"""When the outbox sends messages: loopback, and messages that wait for a sync."""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.records import PromiseRecord, StartRecord
from tests.consensus.helpers import outbox, sent

BALLOT = m.Ballot(1, "r1.boot")


def test_message_to_itself_is_looped_back_and_not_sent() -> None:
    box = outbox()
    box.send("r0", m.Heartbeat())
    box.send("r1", m.Heartbeat())
    assert sent(box) == [("r1", m.Heartbeat())]
    looped = box.next_loopback()
    assert looped is not None
    assert looped.body == m.Heartbeat()
    assert box.next_loopback() is None


def test_nothing_is_sent_to_others_before_start_is_synced() -> None:
    box = outbox()
    box.write_start(StartRecord("r0.disk", 1))
    box.send("r1", m.Heartbeat())
    box.send("r0", m.Heartbeat())
    assert sent(box) == []
    assert box.next_loopback() is not None
    token = box.write(PromiseRecord(2, BALLOT))
    assert box.mark_synced(token)  # the record of the start is among the synced ones
    assert not box.mark_synced(token)
    box.begin(1)
    box.send("r1", m.Heartbeat())
    assert sent(box) == [("r1", m.Heartbeat())]


def test_message_waits_only_for_its_own_record() -> None:
    box = outbox()
    box.send_after_write(PromiseRecord(2, BALLOT), "r1", m.Promise(2, BALLOT))
    later = m.Ballot(2, "r2.boot")
    box.send_after_write(PromiseRecord(2, later), "r2", m.Promise(2, later))
    box.send_waiting()
    assert sent(box) == []
    box.mark_synced(1)
    assert (box.is_synced(1), box.is_synced(2)) == (True, False)
    box.send_waiting()
    assert sent(box) == [("r1", m.Promise(2, BALLOT))]
    box.begin(1)
    box.mark_synced(2)
    box.send_waiting()
    assert sent(box) == [("r2", m.Promise(2, later))]
