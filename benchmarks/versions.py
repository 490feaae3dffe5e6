"""Whether two versions of the program work together, as processes on loopback.

    .venv/bin/python benchmarks/versions.py OTHER_CHECKOUT

Three kinds of cases, each in both directions: a voter's folder that one version has written is opened by the
other; a fleet with routers of both versions decides changes of policy; and clients keep their connections
while a process of one version is replaced by one of the other. Prints a line for each case; exits with 1 if
one has failed. It measures no times, and needs no quiet machine.
"""

from __future__ import annotations

import argparse
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand import ROOT

from tests.daemon.test_upgrade import served
from tests.daemon.test_upgrade import site as upgrade_site
from tests.fault_injection.site import Site
from tests.sockets import WAIT_TIMEOUT_S, Client, Peer, get, hit

ROUTERS = 3
CONNECTIONS = 40
CACHES = 4
SOCKETS = 1024  # a router's descriptors: two processes share them, each with a connection for every request
PIPELINED = 2  # requests of one connection that are under way at once
PAUSE_S = 0.02  # between a connection's answers and its next requests
PHASE_S = 0.5  # for which clients go on before, between and after the upgrades
QUIET_S = 0.2  # in which no further answer may come after the last one
REFUSED_LINKS = "can't be read"  # what a router logs of a message that it can't decode
HANDOVER_FAULT = "handover:"  # how a line begins that tells of a failed upgrade

CHANGES = (
    'who = "ana"\nwhy = "a lower rate"\n[store]\nrate_per_s = 150\nhard_factor = 1.25\nwindow_s = 2\n',
    'who = "ben"\nwhy = "quota leases"\nheld_out = ["s9"]\n[store]\nrate_per_s = 140\nshares = true\n',
    'who = "cleo"\nwhy = "a quota"\n[store]\nshares = true\n[namespaces.acme]\nquota_per_s = 120\n',
)
"""Policies that are proposed one after another."""


class CaseError(Exception):
    """A case has failed; the text says in one line why."""


def expect(holds: bool, what: str) -> None:
    """Raise CaseError unless this holds."""
    if not holds:
        raise CaseError(what)


def wait_for(check: Callable[[], bool], what: str) -> None:
    """Wait until this holds; raises CaseError."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    while not check():
        expect(time.monotonic() < end, f"never came: {what}")
        time.sleep(0.02)


# Fleets


@contextmanager
def fleet(folder: Path, checkouts: Sequence[Path]) -> Iterator[Site]:
    """A fleet that has formed, each router of its own checkout, under load."""
    made = Site(folder, ROUTERS, ROUTERS, "")
    try:
        for name, checkout in zip(made.names, checkouts, strict=True):
            start(made, name, checkout)
        made.wait_for_version(1)
        made.start_clients()
        yield made
        check_logs(made)
    finally:
        made.close()


def start(running: Site, name: str, checkout: Path) -> None:
    """Start a router of this checkout."""
    running.checkouts[name] = checkout
    running.start(name)


def check_logs(running: Site) -> None:
    """Check that no router has failed, and that each could read what the others have sent."""
    for name, file in running.logs.items():
        log = file.read_text()
        for fault in ("Traceback", REFUSED_LINKS):
            lines = [line for line in log.splitlines() if fault in line]
            expect(not lines, f"{name}: {lines[:1]}")


def propose(running: Site, name: str, number: int) -> int:
    """Propose a change at a router, and wait until all hold it; returns its version."""
    verdict = running.propose(name, f"change-{number}", CHANGES[number])
    expect(verdict is not None and verdict["state"] == "in force", f"proposed at {name}: {verdict}")
    version = int(verdict["version"])
    running.wait_for_version(version)
    return version


def histories(running: Site) -> list[Any]:
    """What each router holds as decided."""
    return [running.control_request(name, "GET", "history") for name in running.names]


def check_same_history(running: Site, version: int) -> None:
    """Check that all routers hold the same versions, up to this one."""
    found = histories(running)
    expect(found[0][0]["version"] == version, f"version {found[0][0]['version']}, not {version}")
    expect(all(each == found[0] for each in found), f"histories differ: {found}")


def wait_for_quota_leases(running: Site) -> None:
    """Wait until every router holds a part of the quota from every voter."""

    def granted(name: str) -> bool:
        told = running.control_request(name, "GET", "status")["shares"]
        return bool(told["on"]) and set(told["of"]) == set(running.voters) and not told["why"]

    for name in running.names:
        wait_for(lambda name=name: granted(name), f"quota leases at {name}")  # type: ignore[misc]


def open_folder(folder: Path, writer: Path, reader: Path) -> str:
    """Let the routers of one checkout write their logs, kill them, and start the other checkout's on them."""
    with fleet(folder, [writer] * ROUTERS) as running:
        for number in range(len(CHANGES)):
            version = propose(running, running.names[number % ROUTERS], number)
        before = histories(running)
        for name in running.names:
            running.signal(name, signal.SIGKILL)
        for name in running.names:
            start(running, name, reader)
        running.wait_for_version(version)
        expect(histories(running) == before, "the history is another one")
        check_same_history(running, version)
    return f"version {version} in force again, {len(before[0])} versions in the history of each voter"


def decide_together(folder: Path, checkouts: Sequence[Path]) -> str:
    """Propose at a router of each version in a fleet of both."""
    with fleet(folder, checkouts) as running:
        for number, name in enumerate((*running.names[:2], running.names[0])):
            version = propose(running, name, number)
            check_same_history(running, version)
        wait_for_quota_leases(running)
    return (
        f"{len(CHANGES)} changes in force at {ROUTERS} routers, quota leases from every voter to every router"
    )


def restart_one_by_one(folder: Path, before: Path, after: Path) -> str:
    """Replace each router of a fleet by one of the other version, and propose in between."""
    with fleet(folder, [before] * ROUTERS) as running:
        for number, name in enumerate(running.names):
            running.signal(name, signal.SIGTERM)
            start(running, name, after)
            version = propose(running, running.names[(number + 1) % ROUTERS], number)
            check_same_history(running, version)
    return f"{ROUTERS} routers replaced, a change in force after each"


# Upgrades


class SteadyClient(threading.Thread):
    """One connection that asks again and again; every answer has to be the key that it has asked for."""

    def __init__(self, port: int, number: int, stop: threading.Event) -> None:
        super().__init__(daemon=True)
        self._client, self._number, self._stopped = Client(port), number, stop
        self.answered = 0
        self.fault = ""

    def run(self) -> None:
        """Ask until told to stop."""
        try:
            while not self._stopped.is_set() and not self.fault:
                self._ask_batch()
                self._stopped.wait(PAUSE_S)
            if not self.fault:
                self._check_quiet()
        except OSError as error:
            self.fault = f"{type(error).__name__}: {error}"
        finally:
            self._client.close()

    def _ask_batch(self) -> None:
        """Send some requests at once, and read as many answers."""
        keys = [f"k{self._number}.{self.answered + place}" for place in range(PIPELINED)]
        self._client.send(b"".join(get(f"q{key}", key) for key in keys))
        for key in keys:
            answer = self._client.answer()
            if answer != key.encode():
                self.fault = f"asked for {key}, answered {answer!r}"
                return
            self.answered += 1

    def _check_quiet(self) -> None:
        """Check that the connection stands, and that no request is answered twice."""
        self._client.socket.settimeout(QUIET_S)
        try:
            rest = self._client.socket.recv(100)
        except TimeoutError:
            return
        self.fault = f"after the last answer came {rest!r}" if rest else "the connection was closed"


@contextmanager
def steady_clients(port: int) -> Iterator[list[SteadyClient]]:
    """Clients that ask until the end of the block; none of them may have seen a fault then."""
    stop = threading.Event()
    clients = [SteadyClient(port, number, stop) for number in range(CONNECTIONS)]
    try:
        for client in clients:
            client.start()
        yield clients
    finally:
        stop.set()
        for client in clients:
            client.join(WAIT_TIMEOUT_S)
    check_clients(clients, [0] * CONNECTIONS)


def upgrade(folder: Path, checkouts: Sequence[Path]) -> str:
    """Replace a process by those of further checkouts, one after another, while clients ask."""
    caches = {f"s{number}": Peer(lambda _, words: hit(words[1])) for number in range(CACHES)}
    with upgrade_site(folder, caches, SOCKETS) as made:
        process, _ = made.start(checkouts[0])
        with steady_clients(made.port) as clients:
            time.sleep(PHASE_S)
            for checkout in checkouts[1:]:
                before = process
                process, control_port = made.start(checkout)
                made.end(before)
                answered = [client.answered for client in clients]
                time.sleep(PHASE_S)
                check_clients(clients, answered)
                expect(served(control_port) > 0, "the new process has served nothing")
        made.end(process)
    lines = [line for log in made.logs for line in log.splitlines() if HANDOVER_FAULT in line]
    expect(not lines, f"{lines[:1]}")
    asked = sum(client.answered for client in clients)
    return f"{len(checkouts) - 1} upgrades, {CONNECTIONS} connections kept, {asked} requests answered once"


def check_clients(clients: Sequence[SteadyClient], before: Sequence[int]) -> None:
    """Check that no client has seen a fault, and that each was answered since these counts."""
    faults = [client.fault for client in clients if client.fault]
    expect(not faults, f"{len(faults)} of {len(clients)} clients: {faults[:1]}")
    silent = sum(client.answered <= count for client, count in zip(clients, before, strict=True))
    expect(not silent, f"{silent} of {len(clients)} clients are not answered any more")


# The cases


def cases(here: Path, there: Path) -> dict[str, Callable[[Path], str]]:
    """What is played, by its name."""
    return {
        "folder of the other version, opened by this one": lambda folder: open_folder(folder, there, here),
        "folder of this version, opened by the other one": lambda folder: open_folder(folder, here, there),
        "fleet of two old and one new": lambda folder: decide_together(folder, [there, here, there]),
        "fleet of one old and two new": lambda folder: decide_together(folder, [here, there, here]),
        "fleet upgraded one by one": lambda folder: restart_one_by_one(folder, there, here),
        "fleet taken back one by one": lambda folder: restart_one_by_one(folder, here, there),
        "upgrade and back": lambda folder: upgrade(folder, [there, here, there]),
        "downgrade and back": lambda folder: upgrade(folder, [here, there, here]),
    }


def loaded_from(checkout: Path) -> Path:
    """Where a process that is started in a checkout finds the program."""
    code = "import pebblepass; print(pebblepass.__path__[0])"
    told = subprocess.run(
        [sys.executable, "-c", code], cwd=checkout, capture_output=True, text=True, check=True
    )
    return Path(told.stdout.strip()).resolve()


def play(name: str, case: Callable[[Path], str]) -> bool:
    """Play a case and print its line; returns whether it has passed."""
    with tempfile.TemporaryDirectory(prefix="versions-") as folder:
        try:
            print(f"passed  {name}: {case(Path(folder))}", flush=True)
        except (CaseError, AssertionError, OSError, subprocess.SubprocessError) as error:
            line = (str(error) or type(error).__name__).splitlines()[0]
            print(f"FAILED  {name}: {line}", flush=True)
            return False
    return True


def main() -> int:
    """Play all cases."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("other", type=Path, help="the other checkout's folder")
    other = parser.parse_args().other.resolve()
    for checkout in (ROOT, other):
        package = checkout / "pebblepass"
        if not (package / "daemon").is_dir() or loaded_from(checkout) != package:
            parser.error(f"{checkout}: no checkout of this project")
    passed = [play(name, case) for name, case in cases(ROOT, other).items()]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
