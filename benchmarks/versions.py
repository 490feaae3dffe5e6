"""Checks that two versions of the program work together, as processes on loopback.

    .venv/bin/python benchmarks/versions.py OTHER_CHECKOUT

There are three kinds of cases, each in both directions: one version opens a voter's folder that the other
has written; a fleet with routers of both versions decides policy changes; and clients keep their connections
while a process of one version is replaced by one of the other. It prints a line for each case, and exits with
1 if a case has failed. It measures no times, so other load on the machine does not matter.
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
PAUSE_S = 0.02  # between the answers on a connection and its next requests
PHASE_S = 0.5  # how long clients send requests before, between and after the upgrades
NO_ANSWER_S = 0.2  # after the last answer, in which no further answer may arrive
UNREADABLE_MESSAGE = "can't be read"  # what a router logs of a message that it can't decode
HANDOVER_FAULT = "handover:"  # the beginning of a log line about a failed upgrade

CHANGES = (
    'who = "ana"\nwhy = "a lower rate"\n[store]\nrate_per_s = 150\nhard_factor = 1.25\nwindow_s = 2\n',
    'who = "ben"\nwhy = "quota leases"\nheld_out = ["s9"]\n[store]\nrate_per_s = 140\nshares = true\n',
    'who = "cleo"\nwhy = "a quota"\n[store]\nshares = true\n[namespaces.acme]\nquota_per_s = 120\n',
)
"""Policies, proposed one after another."""


class CaseError(Exception):
    """A case has failed; the message is one line that says why."""


def expect(condition: bool, message: str) -> None:
    """Raise CaseError unless the condition is true."""
    if not condition:
        raise CaseError(message)


def wait_for(check: Callable[[], bool], description: str) -> None:
    """Wait until the check is true; raises CaseError on a timeout."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    while not check():
        expect(time.monotonic() < end, f"timed out waiting for {description}")
        time.sleep(0.02)


# Fleets


@contextmanager
def fleet(folder: Path, checkouts: Sequence[Path]) -> Iterator[Site]:
    """Start a fleet with one checkout per router, wait until it has formed, and put load on it."""
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
    """Start a router from a checkout."""
    running.checkouts[name] = checkout
    running.start(name)


def check_logs(running: Site) -> None:
    """Check that no router has failed, and that each could decode all messages."""
    for name, file in running.logs.items():
        log = file.read_text()
        for fault in ("Traceback", UNREADABLE_MESSAGE):
            lines = [line for line in log.splitlines() if fault in line]
            expect(not lines, f"{name}: {lines[:1]}")


def propose(running: Site, name: str, number: int) -> int:
    """Propose a change at a router, and wait until all routers have it; returns its version."""
    verdict = running.propose(name, f"change-{number}", CHANGES[number])
    expect(verdict is not None and verdict["state"] == "in force", f"proposed at {name}: {verdict}")
    version = int(verdict["version"])
    running.wait_for_version(version)
    return version


def decided_histories(running: Site) -> list[Any]:
    """The history of decided versions at each router."""
    return [running.control_request(name, "GET", "history") for name in running.names]


def check_same_history(running: Site, version: int) -> None:
    """Check that all routers have the same history, which ends with this version."""
    histories = decided_histories(running)
    expect(histories[0][0]["version"] == version, f"version {histories[0][0]['version']}, expected {version}")
    expect(all(history == histories[0] for history in histories), f"histories differ: {histories}")


def wait_for_quota_leases(running: Site) -> None:
    """Wait until every router has a quota lease from every voter."""

    def granted(name: str) -> bool:
        leases = running.control_request(name, "GET", "status")["shares"]
        return bool(leases["on"]) and set(leases["of"]) == set(running.voters) and not leases["why"]

    for name in running.names:
        wait_for(lambda name=name: granted(name), f"quota leases at {name}")  # type: ignore[misc]


def open_folder(folder: Path, writer: Path, reader: Path) -> str:
    """Run routers of one checkout, kill them, and start those of the other checkout on the same folders."""
    with fleet(folder, [writer] * ROUTERS) as running:
        for number in range(len(CHANGES)):
            version = propose(running, running.names[number % ROUTERS], number)
        before = decided_histories(running)
        for name in running.names:
            running.signal(name, signal.SIGKILL)
        for name in running.names:
            start(running, name, reader)
        running.wait_for_version(version)
        expect(decided_histories(running) == before, "the history has changed")
        check_same_history(running, version)
    return f"version {version} in force again, {len(before[0])} versions in the history of each voter"


def decide_together(folder: Path, checkouts: Sequence[Path]) -> str:
    """Propose changes at routers of both versions in a mixed fleet."""
    with fleet(folder, checkouts) as running:
        for number, name in enumerate((*running.names[:2], running.names[0])):
            version = propose(running, name, number)
            check_same_history(running, version)
        wait_for_quota_leases(running)
    return (
        f"{len(CHANGES)} changes in force at {ROUTERS} routers, quota leases from every voter to every router"
    )


def restart_one_by_one(folder: Path, before: Path, after: Path) -> str:
    """Replace the routers of a fleet one by one by the other version, and propose a change after each."""
    with fleet(folder, [before] * ROUTERS) as running:
        for number, name in enumerate(running.names):
            running.signal(name, signal.SIGTERM)
            start(running, name, after)
            version = propose(running, running.names[(number + 1) % ROUTERS], number)
            check_same_history(running, version)
    return f"{ROUTERS} routers replaced, a change in force after each"


# Upgrades


class SteadyClient(threading.Thread):
    """A client that sends requests repeatedly; every answer has to be the requested key."""

    def __init__(self, port: int, number: int, stop: threading.Event) -> None:
        super().__init__(daemon=True)
        self._client, self._number, self._stopped = Client(port), number, stop
        self.answered = 0
        self.fault = ""

    def run(self) -> None:
        """Send requests until stopped."""
        try:
            while not self._stopped.is_set() and not self.fault:
                self._send_batch()
                self._stopped.wait(PAUSE_S)
            if not self.fault:
                self._check_quiet()
        except OSError as error:
            self.fault = f"{type(error).__name__}: {error}"
        finally:
            self._client.close()

    def _send_batch(self) -> None:
        """Send some requests at once, and read their answers."""
        keys = [f"k{self._number}.{self.answered + offset}" for offset in range(PIPELINED)]
        self._client.send(b"".join(get(f"q{key}", key) for key in keys))
        for key in keys:
            answer = self._client.read_reply()
            if answer != key.encode():
                self.fault = f"asked for {key}, answered {answer!r}"
                return
            self.answered += 1

    def _check_quiet(self) -> None:
        """Check that the connection is open, and that no request is answered twice."""
        self._client.socket.settimeout(NO_ANSWER_S)
        try:
            unexpected = self._client.socket.recv(100)
        except TimeoutError:
            return
        self.fault = (
            f"unexpected data after the last answer: {unexpected!r}"
            if unexpected
            else "the connection was closed"
        )


@contextmanager
def steady_clients(port: int) -> Iterator[list[SteadyClient]]:
    """Run clients until the end of the block, and check that none has seen a fault."""
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
    """Replace a process by those of further checkouts, one after another, while clients send requests."""
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
    """Check that no client has seen a fault, and that each has more answers than in `before`."""
    faults = [client.fault for client in clients if client.fault]
    expect(not faults, f"{len(faults)} of {len(clients)} clients: {faults[:1]}")
    silent = sum(client.answered <= count for client, count in zip(clients, before, strict=True))
    expect(not silent, f"{silent} of {len(clients)} clients get no more answers")


# The cases


def cases(this: Path, other: Path) -> dict[str, Callable[[Path], str]]:
    """The cases by name."""
    return {
        "folder of the other version, opened by this one": lambda folder: open_folder(folder, other, this),
        "folder of this version, opened by the other one": lambda folder: open_folder(folder, this, other),
        "fleet of two old and one new": lambda folder: decide_together(folder, [other, this, other]),
        "fleet of one old and two new": lambda folder: decide_together(folder, [this, other, this]),
        "fleet upgraded one by one": lambda folder: restart_one_by_one(folder, other, this),
        "fleet taken back one by one": lambda folder: restart_one_by_one(folder, this, other),
        "upgrade and back": lambda folder: upgrade(folder, [other, this, other]),
        "downgrade and back": lambda folder: upgrade(folder, [this, other, this]),
    }


def loaded_from(checkout: Path) -> Path:
    """The package folder that a process started in a checkout imports."""
    code = "import pebblepass; print(pebblepass.__path__[0])"
    result = subprocess.run(
        [sys.executable, "-c", code], cwd=checkout, capture_output=True, text=True, check=True
    )
    return Path(result.stdout.strip()).resolve()


def run_case(name: str, case: Callable[[Path], str]) -> bool:
    """Run a case and print its line; returns whether it has passed."""
    with tempfile.TemporaryDirectory(prefix="versions-") as folder:
        try:
            print(f"passed  {name}: {case(Path(folder))}", flush=True)
        except (CaseError, AssertionError, OSError, subprocess.SubprocessError) as error:
            line = (str(error) or type(error).__name__).splitlines()[0]
            print(f"FAILED  {name}: {line}", flush=True)
            return False
    return True


def main() -> int:
    """Run all cases."""
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("other", type=Path, help="the other checkout's folder")
    other = parser.parse_args().other.resolve()
    for checkout in (ROOT, other):
        package = checkout / "pebblepass"
        if not (package / "daemon").is_dir() or loaded_from(checkout) != package:
            parser.error(f"{checkout}: not a checkout of this project")
    passed = [run_case(name, case) for name, case in cases(ROOT, other).items()]
    return 0 if all(passed) else 1


if __name__ == "__main__":
    sys.exit(main())
