"""When the outbox sends messages: loopback, and messages that wait for a sync."""

from __future__ import annotations

from pebblepass.consensus import messages as m
from pebblepass.consensus.records import PromiseRecord, StartRecord
from tests.consensus.helpers import create_outbox, sent

BALLOT = m.Ballot(1, "r1.boot")


def test_message_to_itself_is_looped_back_and_not_sent() -> None:
    outbox = create_outbox()
    outbox.send("r0", m.Heartbeat())
    outbox.send("r1", m.Heartbeat())
    assert sent(outbox) == [("r1", m.Heartbeat())]
    looped = outbox.next_loopback()
    assert looped is not None
    assert looped.body == m.Heartbeat()
    assert outbox.next_loopback() is None


def test_nothing_is_sent_to_others_before_start_is_synced() -> None:
    outbox = create_outbox()
    outbox.write_start(StartRecord("r0.disk", 1))
    outbox.send("r1", m.Heartbeat())
    outbox.send("r0", m.Heartbeat())
    assert sent(outbox) == []
    assert outbox.next_loopback() is not None
    token = outbox.write(PromiseRecord(2, BALLOT))
    assert outbox.mark_synced(token)  # the record of the start is among the synced ones
    assert not outbox.mark_synced(token)
    outbox.begin(1)
    outbox.send("r1", m.Heartbeat())
    assert sent(outbox) == [("r1", m.Heartbeat())]


def test_message_waits_only_for_its_own_record() -> None:
    outbox = create_outbox()
    outbox.send_after_write(PromiseRecord(2, BALLOT), "r1", m.Promise(2, BALLOT))
    later = m.Ballot(2, "r2.boot")
    outbox.send_after_write(PromiseRecord(2, later), "r2", m.Promise(2, later))
    outbox.send_waiting()
    assert sent(outbox) == []
    outbox.mark_synced(1)
    assert (outbox.is_synced(1), outbox.is_synced(2)) == (True, False)
    outbox.send_waiting()
    assert sent(outbox) == [("r1", m.Promise(2, BALLOT))]
    outbox.begin(1)
    outbox.mark_synced(2)
    outbox.send_waiting()
    assert sent(outbox) == [("r2", m.Promise(2, later))]
