"""Fleets of real processes under load, with injected faults; each test ends with a check of the history."""

from __future__ import annotations

import http.client
import resource
import shutil
import signal
import socket
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from prometheus_client.openmetrics.parser import text_string_to_metric_families

from pebblepass.emulators.ports import take_port
from pebblepass.fault_injection.checkers import check_all
from tests.fault_injection.site import LEASE_MS, LONG_LEASE_MS, Site, fleet


def rate(number: int) -> str:
    return f'who = "ana"\nwhy = "trial"\n[store]\nrate_per_s = {100 + number}\n'


def scrape(ops: int) -> dict[str, float]:
    """Return a router's metrics, by name and label."""
    connection = http.client.HTTPConnection("127.0.0.1", ops, timeout=20)
    connection.request("GET", "/control/policy/metrics")
    page = connection.getresponse().read().decode()
    families = text_string_to_metric_families(page)  # type: ignore[no-untyped-call]
    rows = [row for family in families for row in family.samples]
    return {
        row.name + "".join(f"{{{key}={value}}}" for key, value in row.labels.items()): row.value
        for row in rows
    }


def test_change_is_checked_by_all_routers_decided_and_in_force(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=4, lease_ms=LONG_LEASE_MS) as site:
        # Any voter may propose the change, and checks it with the routers that it sees.
        for voter in site.voters:
            for other in set(site.names) - {voter}:
                site.wait_for_state(voter, other, "alive")
        verdict = site.propose("r3", "c1", rate(1))  # r3 is no voter, but may propose
        assert verdict["state"] == "in force"
        assert verdict["lines"][0] == "checked by r0, r1, r2, r3"
        assert verdict["lines"][1] == "decided: version 2, by 2 of 3 voters"
        site.wait_for_version(2)
        rows = site.control_request("r1", "GET", "history")
        assert rows[0]["who"] == "ana"
        assert rows[0]["difference"] == ["store.rate_per_s: as before -> 101.0"]
        assert site.propose("r0", "c1", rate(1))["version"] == 2  # a repeated proposal is the same change
        assert site.propose("r0", "c2", rate(1))["lines"] == ["refused: nothing would change"]
        page = scrape(site.ports["r0"][1])
        assert page["pebblepass_fleet_version"] == 2
        assert page["pebblepass_fleet_in_force"] == 1
        assert page["pebblepass_fleet_alive"] == 3
        assert page["pebblepass_fleet_steps_total{event=in force}"] == 2
        # Without admissions under both versions the checks would pass without testing anything.
        seen = {event.version for event in site.history() if event.kind == "admit"}
        assert seen >= {1, 2}


def test_two_of_seven_routers_down_during_a_change_adopt_it_on_restart(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=7, voters=7) as site:
        shutil.copytree(tmp_path / "r6" / "disk", tmp_path / "older")
        assert site.propose("r0", "c1", rate(1))["state"] == "in force"
        assert site.propose("r1", "c2", rate(2))["state"] == "in force"
        for name in ("r5", "r6"):
            site.signal(name, signal.SIGKILL)
        verdict = site.propose("r2", "c3", rate(3))
        assert verdict["state"] == "in force"
        assert [line.split(",")[0] for line in verdict["lines"][3:]] == ["missing: r5", "missing: r6"]
        # r6 restarts with a disk that is two versions old and has to be admitted as a voter again.
        shutil.rmtree(tmp_path / "r6" / "disk")
        shutil.copytree(tmp_path / "older", tmp_path / "r6" / "disk")
        site.start("r6")
        site.start("r5")
        site.wait_for_version(5)
        assert site.control_request("r0", "GET", "history")[0]["why"] == "r6 has come back with another disk"
        assert site.control_request("r6", "GET", "status")["votes"]


def test_change_without_quorum_is_refused_at_once_naming_missing_voters(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        for name in ("r1", "r2"):
            site.signal(name, signal.SIGKILL)
        end = time.monotonic() + 20
        while True:  # until r0 notices that they are down
            started_at = time.monotonic()
            verdict = site.propose("r0", f"c{started_at}", rate(1))
            if time.monotonic() - started_at < LEASE_MS / 4000:
                break
            assert time.monotonic() < end
        assert verdict["state"] == "refused"
        assert verdict["lines"] == ["refused: r1, r2 can't be reached; 2 of 3 voters are needed"]
        status = site.control_request("r0", "GET", "status")
        assert status["version"] == 1
        assert not status["in_force"]  # without a quorum it can't know, so it serves at the floor
        site.start("r1")
        site.wait_for_version(1, "r0", "r1")


def test_policy_that_one_router_cannot_use_is_refused_for_all(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        site.signal("r2", signal.SIGKILL)
        site.wait_for_state("r0", "r2", "down")  # otherwise r0 may still see the previous process
        site.start("r2", tenants=[{"name": "other", "portion": 1.0, "quotaPerS": 50.0}])
        site.wait_for_version(1)
        site.wait_for_state("r0", "r2", "alive")
        verdict = site.propose("r0", "c1", "[namespaces.acme]\nquota_per_s = 90\n")
        assert verdict["state"] == "refused"
        assert verdict["lines"] == ["refused: r2: namespaces.acme: no such namespace"]
        site.wait_for_version(1)


def test_process_stopped_for_three_leases_uses_no_stale_version(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        site.signal("r2", signal.SIGSTOP)
        verdict = site.propose("r0", "c1", rate(1))
        assert verdict["state"] == "in force"
        time.sleep(3 * LEASE_MS / 1000)
        site.signal("r2", signal.SIGCONT)
        site.wait_for_version(2)


def test_all_killed_during_a_change_conclude_it_after_restart(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        for number in range(4):
            proposal = threading.Thread(target=site.propose, args=("r0", f"c{number}", rate(number)))
            proposal.start()
            time.sleep(0.004 * number)  # kills at a different step each time; the checks must pass for each
            for name in site.names:
                site.signal(name, signal.SIGKILL)
            proposal.join()
            for name in site.names:
                site.start(name)
            end = time.monotonic() + 20
            while True:
                statuses = [site.control_request(name, "GET", "status") for name in site.names]
                if all(status and status["in_force"] and not status["open"] for status in statuses):
                    break
                assert time.monotonic() < end, statuses
            assert len({status["version"] for status in statuses}) == 1


def test_partitioned_router_serves_at_floor_and_the_others_continue(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=5, voters=5) as site:
        site.relays.cut(*((a, b) for a in site.names for b in site.names if "r4" in (a, b) and a != b))
        assert site.propose("r0", "c1", rate(1))["state"] == "in force"
        assert not site.control_request("r4", "GET", "status")["in_force"]
        # The opposite direction: r4 receives everything, but can't send.
        site.relays.restore()
        site.wait_for_version(2)
        site.relays.cut(*(("r4", b) for b in site.names if b != "r4"))
        assert site.propose("r1", "c2", rate(2))["state"] == "in force"
        site.relays.restore()
        site.wait_for_version(3)


def test_router_with_empty_disk_votes_only_after_it_is_readmitted(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        site.signal("r1", signal.SIGKILL)
        shutil.rmtree(tmp_path / "r1" / "disk")
        site.start("r1")
        site.wait_for_version(2)
        row = site.control_request("r0", "GET", "history")[0]
        assert row["why"] == "r1 has come back with another disk"
        assert site.propose("r1", "c1", rate(1))["state"] == "in force"


def test_concurrent_changes_are_decided_in_sequence_or_refused(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        states = []

        def propose(name: str, change: str, number: int) -> None:
            states.append(site.propose(name, change, rate(number))["state"])

        proposals = [threading.Thread(target=propose, args=(f"r{n}", f"c{n}", n)) for n in range(3)]
        for proposal in proposals:
            proposal.start()
        for proposal in proposals:
            proposal.join()
        assert "in force" in states
        assert set(states) <= {"in force", "refused"}
        withdrawal = site.control_request("r0", "POST", "withdraw/c9", b"ana")
        assert withdrawal["state"] == "in force"  # the withdrawal of c9 is a version of its own


def test_proposer_killed_at_any_step_does_not_block_the_others(tmp_path: Path) -> None:
    steps = ("check:1", "prepare:1", "promised:1", "accept:1", "accept:2", "took:1", "decided:1", "learn:1")
    with fleet(tmp_path) as site:
        for number, step in enumerate(steps):
            site.signal("r0", signal.SIGKILL)
            site.environ = {"PEBBLEPASS_KILL": step}
            site.start("r0")
            version = site.control_request("r1", "GET", "status")["version"]
            site.wait_for_version(version)
            assert site.propose("r0", f"c{number}", rate(number)) is None  # no answer: the process was killed
            site.processes["r0"].wait(20)
            started_at = time.monotonic()
            while True:
                statuses = [site.control_request(name, "GET", "status") for name in ("r1", "r2")]
                if all(status["in_force"] and not status["open"] for status in statuses):
                    break
                assert time.monotonic() - started_at < 20, (step, statuses)
            assert time.monotonic() - started_at < 4 * (LEASE_MS / 1000 + 1), (
                step
            )  # four times the specified bound, for a busy machine
            # Each router knows the outcome of the change.
            decided = statuses[0]["version"] > version
            again = site.propose("r1", f"c{number}", rate(number))
            assert again["state"] == "in force"
            assert (again["version"] == version + 1) or not decided
            site.environ = {}
            site.start("r0")


def test_changes_on_both_sides_of_a_partition_that_swaps_its_majority(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=7, voters=7) as site:
        minority, majority = site.names[:3], site.names[3:]
        site.relays.cut(
            *((a, b) for a in minority for b in majority), *((b, a) for a in minority for b in majority)
        )
        minority_proposal = threading.Thread(target=site.propose, args=("r0", "few", rate(1)))
        minority_proposal.start()
        assert site.propose("r6", "many", rate(2))["state"] == "in force"
        minority_proposal.join()
        site.relays.restore()
        minority, majority = site.names[4:], site.names[:4]
        site.wait_for_version(2)
        site.relays.cut(
            *((a, b) for a in minority for b in majority), *((b, a) for a in minority for b in majority)
        )
        assert site.propose("r0", "other", rate(3))["state"] == "in force"
        site.relays.restore()
        site.wait_for_version(3)
        verdicts = {event.change: event.detail for event in site.proposed if event.kind == "verdict"}
        assert verdicts["few"] in ("refused", "open")
        assert all(row["change"] != "few" for row in site.control_request("r3", "GET", "history"))


def test_full_disk_during_a_promise_loses_only_that_vote(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        # From now on each write of that process fails, as on a full disk.
        resource.prlimit(site.processes["r2"].pid, resource.RLIMIT_FSIZE, (1, resource.RLIM_INFINITY))
        assert site.propose("r0", "c1", rate(1))["state"] == "in force"
        site.wait_for_version(2, "r0", "r1")
        site.signal("r1", signal.SIGSTOP)
        refused = site.propose("r0", "c2", rate(2))  # two votes of three are needed, and r2 can't vote
        assert refused["state"] in ("refused", "open")
        site.signal("r1", signal.SIGCONT)
        limit = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        resource.prlimit(site.processes["r2"].pid, resource.RLIMIT_FSIZE, limit)
        end = time.monotonic() + 20
        while site.propose("r2", f"c{time.monotonic()}", rate(7))["state"] != "in force":
            assert time.monotonic() < end


def test_sigterm_and_sighup_during_a_change_exit_cleanly(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=4) as site:
        proposal = threading.Thread(target=site.propose, args=("r0", "c1", rate(1)))
        proposal.start()
        site.signal("r1", signal.SIGHUP)
        site.signal("r2", signal.SIGTERM)
        proposal.join()
        assert site.processes["r2"].returncode == 0
        site.wait_for_version(2, "r0", "r1", "r3")
        site.start("r2")
        site.wait_for_version(2)


def test_upgrade_during_a_change_votes_once_and_keeps_promises(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        site.signal("r2", signal.SIGTERM)
        listen, _, link = site.ports["r2"]
        with socket.create_server(("127.0.0.1", listen)) as listener:
            site.inherited_descriptors = (listener.fileno(),)
            site.environ = {"LB_INHERITED_FD": str(listener.fileno()), "TMPDIR": str(tmp_path)}
            site.start("r2")
            site.wait_for_version(1)
            old = site.processes["r2"]
            site.ports["r2"] = (listen, take_port(), link)  # the new process's control address
            proposal = threading.Thread(target=site.propose, args=("r0", "c1", rate(1)))
            proposal.start()
            site.start("r2")
            proposal.join()
            site.wait_for_version(2)
            # The old process holds the disk and votes.
            assert not site.control_request("r2", "GET", "status")["votes"]
            old.send_signal(signal.SIGTERM)
            assert old.wait(20) == 0
            end = time.monotonic() + 20
            while not site.control_request("r2", "GET", "status")["votes"]:
                assert time.monotonic() < end
            site.signal("r1", signal.SIGKILL)  # from now on no quorum without r2
            while site.propose("r0", f"c{time.monotonic()}", rate(2))["state"] != "in force":
                assert time.monotonic() < end
            site.wait_for_version(3, "r0", "r2")


QUOTA_LEASE_POLICY = 'who = "ana"\nwhy = "uneven traffic"\n[store]\nshares = true\n'


def shares_of(site: Site, name: str) -> dict[str, Any]:
    """Return the shares in a router's status."""
    status = site.control_request(name, "GET", "status")
    found: dict[str, Any] = status["shares"] if status is not None else {}
    return found


def wait_for_shares(site: Site, name: str, condition: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
    """Wait until a router's shares meet a condition; returns the shares."""
    end = time.monotonic() + 30
    while not condition(shares := shares_of(site, name)):
        assert time.monotonic() < end, shares
        time.sleep(0.02)
    return shares


def test_shares_follow_traffic_through_cut_and_kill_within_quota(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=4, pause_s=0.1) as site:
        assert shares_of(site, "r0") == {"on": False}
        assert site.propose("r2", "c1", QUOTA_LEASE_POLICY)["state"] == "in force"
        for _ in range(6):
            site.start_clients("r0")
        # 150 per second are available above the floors; an even split would be 37.5.
        wait_for_shares(site, "r0", lambda shares: shares["per_s"].get("acme", 0) > 60)
        assert len(shares_of(site, "r0")["hands_out"]["namespaces"]) == 1
        site.relays.cut(*((a, b) for a in site.names for b in site.names if "r3" in (a, b) and a != b))
        wait_for_shares(
            site, "r3", lambda shares: shares["why"] == "no lease on the version decided: at the floor"
        )
        before = wait_for_shares(site, "r0", lambda shares: shares["per_s"].get("acme", 0) > 60)
        site.signal("r1", signal.SIGKILL)
        # `lease_ms` is rounded: it is 0 in the last half millisecond of a lease that is still valid.
        shares = wait_for_shares(
            site,
            "r0",
            lambda shares: (
                bool(shares["why"]) and ("r1" not in shares["of"] or not shares["of"]["r1"]["lease_ms"])
            ),
        )
        assert shares["why"] == "no share of r1: down, cut off, or started lately"
        assert shares["per_s"]["acme"] < before["per_s"]["acme"]
        site.relays.restore()
        site.start("r1")
        for name in site.names:
            wait_for_shares(site, name, lambda shares: bool(shares.get("per_s")) and not shares["why"])
        events = [event for event in site.history() if event.kind == "share" and event.version == 2]
        assert {event.router for event in events if event.amount} == set(site.names)
        # A change turns the shares off again, which restores the even split.
        assert site.propose("r0", "c2", rate(1))["state"] == "in force"
        assert shares_of(site, "r0") == {"on": False}
    assert 'fleet: {"event":"shares","version":2' in (tmp_path / "r0" / "log").read_text()


def test_processes_with_defective_shares_are_detected(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=4, variant="floors-not-set-aside") as site:
        assert site.propose("r0", "c1", QUOTA_LEASE_POLICY)["state"] == "in force"
        end = time.monotonic() + 40
        while not check_all(site.history()):
            assert time.monotonic() < end
            time.sleep(0.1)
    assert [found.check for found in check_all(site.history())] == ["within the quota"]


def test_leases_end_in_time_with_fast_and_slow_clocks(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=4) as site:
        for name, clock in (("r1", "1.05"), ("r2", "0.95"), ("r3", "0.95")):
            site.signal(name, signal.SIGKILL)
            site.environ = {"PEBBLEPASS_CLOCK": clock}
            site.start(name)
            site.wait_for_version(1, name)
        for number in range(3):
            # r3, slow and no voter, is cut off while it holds a lease; the others continue at once.
            site.relays.cut(*((a, b) for a in site.names for b in site.names if "r3" in (a, b) and a != b))
            assert site.propose("r1", f"c{number}", rate(number))["state"] == "in force"
            site.relays.restore()
            site.wait_for_version(2 + number)


def test_processes_that_serve_while_cut_off_are_detected(tmp_path: Path) -> None:
    with fleet(tmp_path, variant="old-version-served-when-cut-off") as site:
        site.relays.cut(*((a, b) for a in site.names for b in site.names if "r2" in (a, b) and a != b))
        assert site.propose("r0", "c1", rate(1))["state"] == "in force"
        end = time.monotonic() + 20
        while not check_all(site.history()):
            assert time.monotonic() < end
    assert [found.check for found in check_all(site.history())] == ["everywhere or nowhere"]
