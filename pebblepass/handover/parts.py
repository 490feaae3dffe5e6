"""The two parts at work: messages to events, steps to messages. What a router does for it is `Party`'s."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Protocol

from pebblepass.handover.channel import Channel, Door
from pebblepass.handover.messages import (
    MOST_TOLD,
    Connections,
    ConnectionState,
    HandoverError,
    Held,
    Hello,
    Message,
    Ready,
    Refused,
    Told,
    parts,
)
from pebblepass.handover.states import New, NewEvent, NewProcess, Old, OldEvent, OldProcess, Shares, Step

TOLD_S = 0.5  # in which the old process has to tell what it knows
SETTLED_S = 2.0  # in which it is settled whether there is one that does: the platform waits for 6 s
SEEK_S = 0.25
REPORT_S = 0.02  # between two reports of what the old process still holds

log = logging.getLogger("pebblepass")


class Party(Protocol):
    """What the router does in an upgrade."""

    def account(self) -> bytes:
        """All that a successor should know."""

    def learn(self, account: bytes) -> None:
        """Take that over; raises HandoverError, and then nothing of it counts."""

    def begin_serving(self) -> None:
        """Accept clients, for the first time or again."""

    def stop_accepting(self) -> None:
        """Accept nobody any longer."""

    def hand_on(self) -> None:
        """Give every connection without an open request to `Handover.give`, now or once that is so."""

    def close_idle(self) -> None:
        """Close every connection without an open request, now or once that is so."""

    def held(self) -> tuple[int, int]:
        """Connections of clients and to servers."""

    def room(self, clients: int, servers: int, alone: bool) -> None:
        """Hold so many at most from now on; `alone`: and use all of a router's memory."""

    def take(self, sock: socket.socket, handed: ConnectionState) -> None:
        """Go on with a client's connection."""


class Handover:
    """This process's part, first as the one that comes and then as the one that is there."""

    def __init__(self, loop: asyncio.AbstractEventLoop, folder: str, party: Party, shares: Shares) -> None:
        self._loop, self._party, self._shares = loop, party, shares
        self._door = Door(folder)
        self._new, self._old = NewProcess(), OldProcess()
        self._channel: Channel | None = None
        self._told = bytearray()
        self._timer: asyncio.TimerHandle | None = None
        self._begun: asyncio.Future[None] = loop.create_future()
        self._reported: tuple[int, int] | None = None

    @property
    def can_give(self) -> bool:
        """Whether there is a process that takes connections; never the one that this one has come to."""
        leaves = self._old.state in (Old.YIELDING, Old.LEAVING)
        return leaves and self._new.state is New.ALONE and self._channel is not None

    async def begin(self) -> None:
        """Look for a process that is there, and learn what it knows; returns when that is settled."""
        limit = self._loop.call_later(SETTLED_S, self._come, NewEvent.TOO_LATE)
        self._seek()
        await self._begun
        limit.cancel()

    def ready(self) -> None:
        """The servers are known: serve."""
        self._come(NewEvent.READY)

    def terminate(self) -> None:
        """SIGTERM has come."""
        self._stay(OldEvent.TERMINATE)

    def give(self, fds: list[int], handed: list[ConnectionState], done: Callable[[bool], None]) -> None:
        """Hand clients' connections on; `done` is told whether they have left, at once or later."""
        if self._channel is None:
            done(False)
        else:
            self._channel.send(Connections(tuple(handed)), fds, done)

    def close(self) -> None:
        """End."""
        if self._timer is not None:
            self._timer.cancel()
        self._door.close(self._loop)
        if self._channel is not None:
            channel, self._channel = self._channel, None
            channel.close()

    # The process that comes

    def _seek(self) -> None:
        sock = self._door.knock()
        if sock is None:
            self._come(NewEvent.NOBODY)
            return
        self._told.clear()
        self._channel = Channel(self._loop, sock, self._from_old, lambda: self._ended(sock))
        self._timer = self._loop.call_later(TOLD_S, self._come, NewEvent.TOO_LATE)
        self._channel.send(Hello())

    def _ended(self, sock: socket.socket) -> None:
        channel, self._channel = self._channel, None
        if channel is not None:
            self._come(NewEvent.LOST)

    def _from_old(self, message: Message, sockets: list[socket.socket]) -> None:
        match message:
            case Refused():
                self._come(NewEvent.REFUSED)
            case Told():
                self._told += message.part
                if len(self._told) > MOST_TOLD:
                    raise HandoverError("an account without an end")
                if message.last:
                    self._come(NewEvent.TOLD)
            case Held():
                clients, servers = self._shares.left(message.clients, message.servers)
                if self._new.state is New.SUCCEEDING:
                    self._party.room(clients, servers, alone=False)
            case Connections():
                if len(sockets) != len(message.handed):
                    raise HandoverError("connections without their descriptors")
                for sock, handed in zip(sockets, message.handed, strict=True):
                    self._party.take(sock, handed)
            case _:
                raise HandoverError("a message from the wrong side")

    def _come(self, event: NewEvent) -> None:
        for step in self._new.take(event):
            match step:
                case Step.LEARN:
                    try:
                        self._party.learn(bytes(self._told))
                    except HandoverError as error:
                        log.warning("handover: %s", error)
                    self._told.clear()
                case Step.SEEK_AGAIN:
                    channel, self._channel = self._channel, None
                    if channel is not None:
                        channel.close()
                    self._timer = self._replace(SEEK_S, self._seek)
                case Step.SERVE:
                    if self._channel is not None:
                        # What the old process holds is not known yet: until its first report little is taken.
                        clients, servers = self._shares.pair
                        self._party.room(clients // 4, servers // 4, alone=False)
                        self._channel.send(Ready())
                    self._party.begin_serving()
                case Step.WHOLE_SHARE:
                    self._party.room(*self._shares.whole, alone=True)
                case Step.OPEN_DOOR:
                    self._open_door()
        if self._new.state is not New.SEEKING and not self._begun.done():
            if self._timer is not None:
                self._timer.cancel()
            self._begun.set_result(None)

    def _replace(self, delay: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        if self._timer is not None:
            self._timer.cancel()
        return self._loop.call_later(delay, callback)

    def _open_door(self) -> None:
        try:
            self._door.open(self._loop, self._came)
        except OSError as error:
            log.warning("handover: no process can come: %s", error)

    # The process that is there

    def _came(self, sock: socket.socket) -> None:
        if self._channel is not None:
            sock.setblocking(False)
            Channel(self._loop, sock, lambda *_: None, lambda: None).send(Refused())
            return
        channel = Channel(self._loop, sock, self._from_new, lambda: self._gone(channel))
        self._channel = channel

    def _gone(self, channel: Channel) -> None:
        if self._channel is channel:
            self._channel = None
            self._stay(OldEvent.LOST)

    def _from_new(self, message: Message, sockets: list[socket.socket]) -> None:
        match message:
            case Hello():
                self._stay(OldEvent.HELLO)
            case Ready():
                self._stay(OldEvent.READY)
            case _:
                raise HandoverError("a message from the wrong side")

    def _stay(self, event: OldEvent) -> None:
        for step in self._old.take(event):
            match step:
                case Step.TELL:
                    assert self._channel is not None
                    for part in parts(self._party.account()):
                        self._channel.send(part)
                case Step.MAKE_ROOM:
                    self._party.room(*self._shares.pair, alone=False)
                case Step.STOP_ACCEPTING:
                    self._party.stop_accepting()
                case Step.HAND_ON:
                    self._party.hand_on()
                    self._timer = self._replace(0.0, self._report)  # once those have left
                case Step.CLOSE_IDLE:
                    self._party.close_idle()
                case Step.WHOLE_SHARE:
                    self._party.room(*self._shares.whole, alone=True)
                case Step.ACCEPT_AGAIN:
                    self._party.begin_serving()
                case Step.CLOSE_DOOR:
                    self._door.close(self._loop)

    def _report(self) -> None:
        """Tell the new process what is still held here; it has the rest."""
        if self._channel is None or not self.can_give:
            return
        held = self._party.held()
        if held != self._reported:
            self._reported = held
            self._channel.send(Held(*held))
        self._timer = self._replace(REPORT_S, self._report)
