"""Fleets of real processes with faults between them, under load; the verdict is that of the histories."""

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
from tests.fault_injection.site import LEASE_MS, PATIENT_LEASE_MS, Site, fleet


def rate(number: int) -> str:
    return f'who = "ana"\nwhy = "trial"\n[store]\nrate_per_s = {100 + number}\n'


def scrape(ops: int) -> dict[str, float]:
    """A router's metrics, by name and label."""
    connection = http.client.HTTPConnection("127.0.0.1", ops, timeout=20)
    connection.request("GET", "/control/policy/metrics")
    read = connection.getresponse().read().decode()
    told = text_string_to_metric_families(read)  # type: ignore[no-untyped-call]
    rows = [row for family in told for row in family.samples]
    return {
        row.name + "".join(f"{{{key}={value}}}" for key, value in row.labels.items()): row.value
        for row in rows
    }


def test_a_change_is_checked_by_all_decided_and_in_force_everywhere(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=4, lease_ms=PATIENT_LEASE_MS) as site:
        for voter in site.voters:  # any of them may carry the change, and asks whom it hears
            for other in set(site.names) - {voter}:
                site.sees(voter, other, "alive")
        verdict = site.propose("r3", "c1", rate(1))  # r3 does not vote, and proposes all the same
        assert verdict["state"] == "in force"
        assert verdict["lines"][0] == "checked by r0, r1, r2, r3"
        assert verdict["lines"][1] == "decided: version 2, by 2 of 3 voters"
        site.wait(2)
        rows = site.ask("r1", "GET", "history")
        assert rows[0]["who"] == "ana"
        assert rows[0]["difference"] == ["store.rate_per_s: as before -> 101.0"]
        assert site.propose("r0", "c1", rate(1))["version"] == 2  # asked again: the same change
        assert site.propose("r0", "c2", rate(1))["lines"] == ["refused: nothing would change"]
        page = scrape(site.ports["r0"][1])
        assert page["pebblepass_fleet_version"] == 2
        assert page["pebblepass_fleet_in_force"] == 1
        assert page["pebblepass_fleet_alive"] == 3
        assert page["pebblepass_fleet_steps_total{event=in force}"] == 2
        # Something must have been admitted under each, or the checks have seen nothing.
        seen = {event.version for event in site.history() if event.what == "admit"}
        assert seen >= {1, 2}


def test_two_of_seven_down_while_it_is_made_take_it_before_they_are_ready(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=7, voters=7) as site:
        shutil.copytree(tmp_path / "r6" / "disk", tmp_path / "older")
        assert site.propose("r0", "c1", rate(1))["state"] == "in force"
        assert site.propose("r1", "c2", rate(2))["state"] == "in force"
        for name in ("r5", "r6"):
            site.signal(name, signal.SIGKILL)
        verdict = site.propose("r2", "c3", rate(3))
        assert verdict["state"] == "in force"
        assert [line.split(",")[0] for line in verdict["lines"][3:]] == ["missing: r5", "missing: r6"]
        # One comes back with a disk that is two versions old: it is taken in anew.
        shutil.rmtree(tmp_path / "r6" / "disk")
        shutil.copytree(tmp_path / "older", tmp_path / "r6" / "disk")
        site.start("r6")
        site.start("r5")
        site.wait(5)
        assert site.ask("r0", "GET", "history")[0]["why"] == "r6 has come back with another disk"
        assert site.ask("r6", "GET", "status")["votes"]


def test_a_change_with_less_than_a_quorum_is_refused_at_once_by_name(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        for name in ("r1", "r2"):
            site.signal(name, signal.SIGKILL)
        end = time.monotonic() + 20
        while True:  # until their silence is noticed
            begun = time.monotonic()
            verdict = site.propose("r0", f"c{begun}", rate(1))
            if time.monotonic() - begun < LEASE_MS / 4000:
                break
            assert time.monotonic() < end
        assert verdict["state"] == "refused"
        assert verdict["lines"] == ["refused: r1, r2 can't be reached; 2 of 3 voters are needed"]
        told = site.ask("r0", "GET", "status")
        assert told["version"] == 1
        assert not told["in_force"]  # it can't tell: the floor holds, and service goes on
        site.start("r1")
        site.wait(1, "r0", "r1")


def test_a_policy_that_one_router_cannot_use_is_refused_whole(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        site.signal("r2", signal.SIGKILL)
        site.sees("r0", "r2", "down")  # else what r0 hears of it may still be the process before
        site.start("r2", tenants=[{"name": "other", "portion": 1.0, "quotaPerS": 50.0}])
        site.wait(1)
        site.sees("r0", "r2", "alive")
        verdict = site.propose("r0", "c1", "[namespaces.acme]\nquota_per_s = 90\n")
        assert verdict["state"] == "refused"
        assert verdict["lines"] == ["refused: r2: namespaces.acme: no such namespace"]
        site.wait(1)


def test_a_process_that_was_stopped_for_three_leases_uses_no_stale_decision(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        site.signal("r2", signal.SIGSTOP)
        verdict = site.propose("r0", "c1", rate(1))
        assert verdict["state"] == "in force"
        time.sleep(3 * LEASE_MS / 1000)
        site.signal("r2", signal.SIGCONT)
        site.wait(2)


def test_all_killed_in_mid_change_and_started_again_end_it_either_way(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        for number in range(4):
            asking = threading.Thread(target=site.propose, args=("r0", f"c{number}", rate(number)))
            asking.start()
            time.sleep(0.004 * number)  # at another step each time; whichever it is, the checks must hold
            for name in site.names:
                site.signal(name, signal.SIGKILL)
            asking.join()
            for name in site.names:
                site.start(name)
            end = time.monotonic() + 20
            while True:
                told = [site.ask(name, "GET", "status") for name in site.names]
                if all(each and each["in_force"] and not each["open"] for each in told):
                    break
                assert time.monotonic() < end, told
            assert len({each["version"] for each in told}) == 1


def test_a_cut_off_router_holds_the_floor_and_the_others_go_on(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=5, voters=5) as site:
        site.relays.cut(*((a, b) for a in site.names for b in site.names if "r4" in (a, b) and a != b))
        assert site.propose("r0", "c1", rate(1))["state"] == "in force"
        assert not site.ask("r4", "GET", "status")["in_force"]
        # The other way round: it hears all, and reaches nobody.
        site.relays.mend()
        site.wait(2)
        site.relays.cut(*(("r4", b) for b in site.names if b != "r4"))
        assert site.propose("r1", "c2", rate(2))["state"] == "in force"
        site.relays.mend()
        site.wait(3)


def test_a_router_with_an_empty_disk_votes_only_once_it_is_taken_in_anew(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        site.signal("r1", signal.SIGKILL)
        shutil.rmtree(tmp_path / "r1" / "disk")
        site.start("r1")
        site.wait(2)
        row = site.ask("r0", "GET", "history")[0]
        assert row["why"] == "r1 has come back with another disk"
        assert site.propose("r1", "c1", rate(1))["state"] == "in force"


def test_two_changes_at_once_from_two_routers_end_one_after_the_other_or_refused(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        ended = []

        def go(name: str, change: str, number: int) -> None:
            ended.append(site.propose(name, change, rate(number))["state"])

        asking = [threading.Thread(target=go, args=(f"r{n}", f"c{n}", n)) for n in range(3)]
        for each in asking:
            each.start()
        for each in asking:
            each.join()
        assert "in force" in ended
        assert set(ended) <= {"in force", "refused"}
        told = site.ask("r0", "POST", "withdraw/c9", b"ana")
        assert told["state"] == "in force"  # a version that says: c9 is nothing


def test_a_proposer_that_is_killed_at_any_step_holds_up_nobody(tmp_path: Path) -> None:
    steps = ("check:1", "prepare:1", "promised:1", "accept:1", "accept:2", "took:1", "decided:1", "learn:1")
    with fleet(tmp_path) as site:
        for number, step in enumerate(steps):
            site.signal("r0", signal.SIGKILL)
            site.environ = {"PEBBLEPASS_KILL": step}
            site.start("r0")
            version = site.ask("r1", "GET", "status")["version"]
            site.wait(version)
            assert site.propose("r0", f"c{number}", rate(number)) is None  # no answer: it is dead
            site.processes["r0"].wait(20)
            begun = time.monotonic()
            while True:
                told = [site.ask(name, "GET", "status") for name in ("r1", "r2")]
                if all(each["in_force"] and not each["open"] for each in told):
                    break
                assert time.monotonic() - begun < 20, (step, told)
            assert time.monotonic() - begun < 4 * (LEASE_MS / 1000 + 1), (
                step
            )  # four times the claim, for a busy machine
            # What became of it is known, whoever is asked.
            decided = told[0]["version"] > version
            again = site.propose("r1", f"c{number}", rate(number))
            assert again["state"] == "in force"
            assert (again["version"] == version + 1) or not decided
            site.environ = {}
            site.start("r0")


def test_a_change_on_each_side_of_a_cut_that_turns_round(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=7, voters=7) as site:
        few, many = site.names[:3], site.names[3:]
        site.relays.cut(*((a, b) for a in few for b in many), *((b, a) for a in few for b in many))
        lone = threading.Thread(target=site.propose, args=("r0", "few", rate(1)))
        lone.start()
        assert site.propose("r6", "many", rate(2))["state"] == "in force"
        lone.join()
        site.relays.mend()
        few, many = site.names[4:], site.names[:4]
        site.wait(2)
        site.relays.cut(*((a, b) for a in few for b in many), *((b, a) for a in few for b in many))
        assert site.propose("r0", "other", rate(3))["state"] == "in force"
        site.relays.mend()
        site.wait(3)
        told = {event.change: event.told for event in site.proposed if event.what == "verdict"}
        assert told["few"] in ("refused", "open")
        assert all(row["change"] != "few" for row in site.ask("r3", "GET", "history"))


def test_a_disk_that_is_full_while_it_promises_costs_that_vote_and_nothing_else(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        # From now on no file of that process may grow: each write fails, as on a full disk.
        resource.prlimit(site.processes["r2"].pid, resource.RLIMIT_FSIZE, (1, resource.RLIM_INFINITY))
        assert site.propose("r0", "c1", rate(1))["state"] == "in force"
        site.wait(2, "r0", "r1")
        site.signal("r1", signal.SIGSTOP)
        refused = site.propose("r0", "c2", rate(2))  # two of three are needed, and one can't promise
        assert refused["state"] in ("refused", "open")
        site.signal("r1", signal.SIGCONT)
        limit = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)
        resource.prlimit(site.processes["r2"].pid, resource.RLIMIT_FSIZE, limit)
        end = time.monotonic() + 20
        while site.propose("r2", f"c{time.monotonic()}", rate(7))["state"] != "in force":
            assert time.monotonic() < end


def test_sigterm_and_sighup_in_mid_change_end_in_good_order(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=4) as site:
        asking = threading.Thread(target=site.propose, args=("r0", "c1", rate(1)))
        asking.start()
        site.signal("r1", signal.SIGHUP)
        site.signal("r2", signal.SIGTERM)
        asking.join()
        assert site.processes["r2"].returncode == 0
        site.wait(2, "r0", "r1", "r3")
        site.start("r2")
        site.wait(2)


def test_an_upgrade_in_mid_change_votes_for_one_and_takes_the_promises_over(tmp_path: Path) -> None:
    with fleet(tmp_path) as site:
        site.signal("r2", signal.SIGTERM)
        listen, _, link = site.ports["r2"]
        with socket.create_server(("127.0.0.1", listen)) as held:
            site.held = (held.fileno(),)
            site.environ = {"LB_INHERITED_FD": str(held.fileno()), "TMPDIR": str(tmp_path)}
            site.start("r2")
            site.wait(1)
            old = site.processes["r2"]
            site.ports["r2"] = (listen, take_port(), link)  # the new process's control address
            asking = threading.Thread(target=site.propose, args=("r0", "c1", rate(1)))
            asking.start()
            site.start("r2")
            asking.join()
            site.wait(2)
            assert not site.ask("r2", "GET", "status")["votes"]  # the old one has the disk, and is the voter
            old.send_signal(signal.SIGTERM)
            assert old.wait(20) == 0
            end = time.monotonic() + 20
            while not site.ask("r2", "GET", "status")["votes"]:
                assert time.monotonic() < end
            site.signal("r1", signal.SIGKILL)  # from now on nothing is decided without it
            while site.propose("r0", f"c{time.monotonic()}", rate(2))["state"] != "in force":
                assert time.monotonic() < end
            site.wait(3, "r0", "r2")


SHARES = 'who = "ana"\nwhy = "uneven traffic"\n[store]\nshares = true\n'


def share(site: Site, name: str) -> dict[str, Any]:
    """What a router tells of its shares."""
    told = site.ask(name, "GET", "status")
    found: dict[str, Any] = told["shares"] if told is not None else {}
    return found


def wait_for(site: Site, name: str, right: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
    """Wait until what a router tells of its shares is so."""
    end = time.monotonic() + 30
    while not right(told := share(site, name)):
        assert time.monotonic() < end, told
        time.sleep(0.02)
    return told


def test_shares_follow_the_traffic_over_a_cut_and_a_kill_and_never_exceed_the_quota(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=4, pause_s=0.1) as site:
        assert share(site, "r0") == {"on": False}
        assert site.propose("r2", "c1", SHARES)["state"] == "in force"
        for _ in range(6):
            site.load("r0")
        # Beyond the floors there are 150 a second; an even split would be 37.5.
        wait_for(site, "r0", lambda told: told["per_s"].get("acme", 0) > 60)
        assert len(share(site, "r0")["hands_out"]["namespaces"]) == 1
        site.relays.cut(*((a, b) for a in site.names for b in site.names if "r3" in (a, b) and a != b))
        wait_for(site, "r3", lambda told: told["why"] == "no lease on the version decided: at the floor")
        before = wait_for(site, "r0", lambda told: told["per_s"].get("acme", 0) > 60)
        site.signal("r1", signal.SIGKILL)
        told = wait_for(site, "r0", lambda told: "r1" not in told["of"] or not told["of"]["r1"]["lease_ms"])
        assert told["why"] == "no share of r1: down, cut off, or started lately"
        assert told["per_s"]["acme"] < before["per_s"]["acme"]
        site.relays.mend()
        site.start("r1")
        for name in site.names:
            wait_for(site, name, lambda told: bool(told.get("per_s")) and not told["why"])
        events = [event for event in site.history() if event.what == "share" and event.version == 2]
        assert {event.router for event in events if event.amount} == set(site.names)
        # Off again: a version like any other, and the even split is back.
        assert site.propose("r0", "c2", rate(1))["state"] == "in force"
        assert share(site, "r0") == {"on": False}
    assert 'fleet: {"event":"shares","version":2' in (tmp_path / "r0" / "log").read_text()


def test_processes_whose_shares_are_broken_are_caught_by_their_history(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=4, variant="floors-not-set-aside") as site:
        assert site.propose("r0", "c1", SHARES)["state"] == "in force"
        end = time.monotonic() + 40
        while not check_all(site.history()):
            assert time.monotonic() < end
            time.sleep(0.1)
    assert [found.check for found in check_all(site.history())] == ["within the quota"]


def test_clocks_that_run_fast_and_slow_end_no_lease_too_late(tmp_path: Path) -> None:
    with fleet(tmp_path, routers=4) as site:
        for name, clock in (("r1", "1.05"), ("r2", "0.95"), ("r3", "0.95")):
            site.signal(name, signal.SIGKILL)
            site.environ = {"PEBBLEPASS_CLOCK": clock}
            site.start(name)
            site.wait(1, name)
        for number in range(3):
            # The slow one that does not vote is cut off with its lease, and the others go on at once.
            site.relays.cut(*((a, b) for a in site.names for b in site.names if "r3" in (a, b) and a != b))
            assert site.propose("r1", f"c{number}", rate(number))["state"] == "in force"
            site.relays.mend()
            site.wait(2 + number)


def test_a_program_that_serves_on_when_cut_off_is_caught_by_its_history(tmp_path: Path) -> None:
    with fleet(tmp_path, variant="old-version-served-when-cut-off") as site:
        site.relays.cut(*((a, b) for a in site.names for b in site.names if "r2" in (a, b) and a != b))
        assert site.propose("r0", "c1", rate(1))["state"] == "in force"
        end = time.monotonic() + 20
        while not check_all(site.history()):
            assert time.monotonic() < end
    assert [found.check for found in check_all(site.history())] == ["everywhere or nowhere"]
