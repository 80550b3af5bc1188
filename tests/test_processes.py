"""Failure tests on real processes: kills, lost disks, freezes and concurrent operators.

Each test starts a small system on loopback and causes a failure. It then compares the
answers that callers received with the endpoints' run records or with a later read.
"""

import concurrent.futures
import http.client
import json
import shutil
import tempfile
import time
import unittest
import uuid
from pathlib import Path

from scripts.fleet_processes import FleetProcesses

from redwingslip.load import new_request_key

TIMEOUT_S = 40.0
N_VMS = 2
SLOTS = 4
POOL = {"kind": "pools", "name": "p", "spec": {"max_unavailable": 1}}
TEAM = {"kind": "teams", "name": "t", "spec": {"limit": 3}}
QUEUE = {
    "kind": "queues",
    "name": "q",
    "spec": {"pool": "p", "service": "s", "idempotent": False},
}


class Reply:
    """An HTTP answer; `status` is 0 when no answer was received."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def json(self):
        """Return the value that the JSON body encodes."""
        return json.loads(self.body)


def exchange(address, method, path, *, token, body=None, headers=(), timeout_s=20.0):
    """Send one request on a new connection and return the reply."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        head = {"Authorization": f"Bearer {token}", **dict(headers)}
        conn.request(method, path, body=body, headers=head)
        res = conn.getresponse()
        return Reply(res.status, dict(res.getheaders()), res.read())
    except (OSError, http.client.HTTPException):
        return Reply(0, {}, b"")
    finally:
        conn.close()


class ProcessTestCase(unittest.TestCase):
    """Starts a system of 3 replicas and 3 entries for each test."""

    n_entries = 3

    def setUp(self):
        self.folder = Path(tempfile.mkdtemp(prefix="redwingslip-test-"))
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)
        self.fleet = FleetProcesses(self.folder, n_entries=self.n_entries)
        self.addCleanup(self.fleet.close)
        self.fleet.bootstrap()
        self.fleet.start()
        self.fleet.wait_ready(timeout_s=TIMEOUT_S)

    def declare_fleet(self):
        """Declare a fleet, start its endpoints and return a key that entries accept."""
        documents = [POOL, TEAM, QUEUE]
        for i in range(N_VMS):
            spec = {"pool": "p", "data_centre": "dc-1", "slots": SLOTS}
            documents.append({"kind": "vms", "name": f"vm-{i}", "spec": spec})
        path = self.folder / "fleet.json"
        path.write_text(json.dumps(documents))
        self.fleet.cli("apply", str(path))
        endpoints = [f"e-{i},s,vm-{i},{SLOTS}" for i in range(N_VMS)]
        self.fleet.add_endpoints("endpoints", endpoints)
        granted = self.fleet.cli("key", "grant", "t", "--name", "k")
        key = json.loads(granted.stdout)["secret"]
        self.wait_until(lambda: self.send_request(key).status == 200)
        return key

    def send_request(
        self, key, *, entry=None, body=None, request_key="", timeout_s=20.0
    ):
        """Send a request to an entry, by default the first that runs."""
        entry = entry or next(e for e in self.fleet.entry_ids if self.is_live(e))
        headers = {"Idempotency-Key": request_key} if request_key else {}
        return exchange(
            self.fleet.http_addresses[entry],
            "POST",
            "/v1/queues/q/requests",
            token=key,
            body=body or json.dumps({"id": uuid.uuid4().hex}),
            headers=headers,
            timeout_s=timeout_s,
        )

    def send_operator_request(self, method, path, *, entry=None, spec=None, headers=()):
        """Send an operator request to an entry, by default the first that runs."""
        entry = entry or next(e for e in self.fleet.entry_ids if self.is_live(e))
        body = None if spec is None else json.dumps({"spec": spec})
        return exchange(
            self.fleet.http_addresses[entry],
            method,
            path,
            token=self.fleet.operator_token,
            body=body,
            headers=headers,
        )

    def is_live(self, name):
        """Return whether a process was started and not killed or terminated since."""
        return name in self.fleet.processes

    def wait_until(self, condition, *, timeout_s=TIMEOUT_S):
        """Wait until a condition holds; fail when it does not hold in time."""
        deadline = time.monotonic() + timeout_s
        while not condition():
            self.assertLess(
                time.monotonic(), deadline, "the condition did not hold in time"
            )
            time.sleep(0.1)

    def leader(self):
        """Return the id of the leading replica, empty when it is unknown."""
        reply = self.send_operator_request("GET", "/v1/replicas")
        return reply.json["leader_id"] if reply.status == 200 else ""

    def runs(self, event="start"):
        """Return the endpoints' records of one event of the runs."""
        lines = (self.folder / "endpoints.runs").read_text().splitlines()
        return [r for r in map(json.loads, lines) if r["event"] == event]


class TestFrozenEntry(ProcessTestCase):
    """An entry that is suspended with SIGSTOP and resumed later."""

    def test_withdrawn_key_is_refused_after_the_entry_resumes(self):
        """A resumed entry runs no request with a key that was withdrawn meanwhile.

        The requests are sent while the entry is suspended. Its view of the keys is
        outdated when it resumes, so it has to refuse them even as its first action.
        """
        key = self.declare_fleet()
        self.fleet.freeze("entry-3")
        self.fleet.cli("key", "withdraw", "k")
        n_runs = len(self.runs())
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            # The suspended entry's socket buffers hold the requests until it resumes.
            futures = [
                pool.submit(self.send_request, key, entry="entry-3", timeout_s=30.0)
                for _ in range(8)
            ]
            time.sleep(0.5)
            self.fleet.thaw("entry-3")
            replies = [future.result() for future in futures]
        self.assertNotIn(200, [reply.status for reply in replies])
        for reply in replies:
            self.assertEqual(reply.json["outcome"], "not-run")
        self.assertEqual(len(self.runs()), n_runs)


class TestKills(ProcessTestCase):
    """Processes that are killed with SIGKILL."""

    def test_claimed_request_runs_once_though_its_entry_is_killed(self):
        """A resend at another entry never runs a non-idempotent request again."""
        key = self.declare_fleet()
        body = json.dumps({"id": "only-once", "sleep_s": 1.0})
        request_key = new_request_key()
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            first = pool.submit(
                self.send_request,
                key,
                entry="entry-1",
                body=body,
                request_key=request_key,
            )
            self.wait_until(lambda: self.n_unfinished() > 0)
            self.fleet.kill("entry-1")
            self.assertEqual(first.result().status, 0)
        again = self.send_request(
            key, entry="entry-2", body=body, request_key=request_key
        )
        self.assertEqual((again.status, again.json["outcome"]), (504, "unknown"))
        third = self.send_request(
            key, entry="entry-3", body=body, request_key=request_key
        )
        self.assertEqual(third.json["outcome"], "unknown")
        hashes = [run["body_sha256"] for run in self.runs()]
        self.assertEqual(len(hashes), len(set(hashes)))

    def n_unfinished(self):
        """Return the number of runs that have started and not ended."""
        return len(self.runs()) - len(self.runs("end"))

    def test_answer_is_recorded_for_a_resend_at_another_entry(self):
        """A resend gets the first run's answer, at any entry and after a new leader."""
        key = self.declare_fleet()
        request_key = new_request_key()
        first = self.send_request(key, entry="entry-1", request_key=request_key)
        self.assertEqual(first.status, 200)
        self.fleet.kill(self.leader())
        again = self.send_request(key, entry="entry-2", request_key=request_key)
        self.assertEqual((again.status, again.body), (200, first.body))
        self.assertEqual(len(self.runs()), len({r["body_sha256"] for r in self.runs()}))

    def test_accepted_writes_survive_kills_of_all_replicas(self):
        """Accepted changes are still stored after every replica was killed."""
        accepted = {}
        killed = False
        for i in range(300):
            name = f"team-{i % 40}"
            spec = {"share": 1.0 + i}
            reply = self.send_operator_request("PUT", f"/v1/teams/{name}", spec=spec)
            if reply.status in (200, 201):
                accepted[name] = (reply.json["version"], spec["share"])
            if i == 150 and not killed:
                killed = True
                self.fleet.kill(self.leader())
        for name in self.fleet.replica_ids:
            if self.is_live(name):
                self.fleet.kill(name)
        self.fleet.start(*self.fleet.replica_ids)
        self.wait_until(lambda: self.leader() != "")
        self.assertGreater(len(accepted), 30)
        for name, (version, share) in accepted.items():
            team = self.send_operator_request("GET", f"/v1/teams/{name}").json
            self.assertEqual((team["version"], team["spec"]["share"]), (version, share))


class TestLostDisk(ProcessTestCase):
    """Replicas whose data folders are deleted."""

    def test_second_disk_lost_right_after_the_repair(self):
        """No write is lost when a second disk fails right after the first repair."""
        for i in range(20):
            reply = self.send_operator_request(
                "PUT", f"/v1/teams/team-{i}", spec={"share": 2.0}
            )
            self.assertIn(reply.status, (200, 201))
        followers = [r for r in self.fleet.replica_ids if r != self.leader()]
        for name in followers:
            old = self.incarnation(name)
            self.fleet.kill(name)
            shutil.rmtree(self.folder / f"{name}.data")
            self.fleet.start(name)
            self.wait_until(lambda a=name, b=old: self.incarnation(a) not in ("", b))
        self.fleet.kill(self.leader())
        self.wait_until(lambda: self.leader() != "")
        names = {
            item["name"]
            for item in self.send_operator_request("GET", "/v1/teams").json["items"]
        }
        self.assertEqual(names, {f"team-{i}" for i in range(20)})
        reply = self.send_operator_request("PUT", "/v1/teams/after", spec={})
        self.assertIn(reply.status, (200, 201))

    def incarnation(self, name):
        """Return a replica's incarnation once it is repaired, else an empty string."""
        reply = self.send_operator_request("GET", "/v1/replicas")
        if reply.status != 200:
            return ""
        members = {m["replica_id"]: m for m in reply.json["replicas"]}
        member = members.get(name, {"repaired": False})
        return member["incarnation"] if member["repaired"] else ""


class TestOperators(ProcessTestCase):
    """Operators who write concurrently and resend writes."""

    def test_one_of_two_writes_with_the_same_version_wins(self):
        """Of concurrent writes based on one version, one succeeds.

        The others are refused with the current version.
        """
        base = self.send_operator_request("PUT", "/v1/teams/t", spec={}).json["version"]
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            replies = list(pool.map(lambda i: self.write_team(i, base), range(6)))
        winners = [reply for reply in replies if reply.status == 200]
        losers = [reply for reply in replies if reply.status == 412]
        self.assertEqual((len(winners), len(losers)), (1, 5))
        for reply in losers:
            self.assertEqual(reply.json["version"], winners[0].json["version"])

    def write_team(self, i, base):
        """Write a team's specification number `i` on condition of a version."""
        return self.send_operator_request(
            "PUT",
            "/v1/teams/t",
            entry=f"entry-{i % 3 + 1}",
            spec={"share": 1.0 + i},
            headers={"If-Match": f'"{base}"'},
        )

    def test_resend_after_a_new_leader_gets_the_first_outcome(self):
        """A write that is resent after its answer was lost is not applied again."""
        headers = {"Idempotency-Key": "op-1", "If-None-Match": "*"}
        first = self.send_operator_request(
            "PUT", "/v1/teams/t", spec={}, headers=headers
        )
        self.fleet.kill(self.leader())
        again = self.send_operator_request(
            "PUT", "/v1/teams/t", entry="entry-2", spec={}, headers=headers
        )
        self.assertEqual(
            (first.status, first.json["version"]), (again.status, again.json["version"])
        )
        self.assertEqual(
            self.send_operator_request("GET", "/v1/teams/t").json["version"],
            first.json["version"],
        )


class TestGracefulStop(ProcessTestCase):
    """Planned stops with SIGTERM."""

    def test_stopped_entry_cuts_off_no_request(self):
        """Requests in flight at an entry that receives SIGTERM get their answers."""
        key = self.declare_fleet()
        body = json.dumps({"id": "slow", "sleep_s": 5.0})
        with concurrent.futures.ThreadPoolExecutor(3) as pool:
            futures = [
                pool.submit(
                    self.send_request,
                    key,
                    entry="entry-1",
                    body=f'{body[:-1]}, "n": {i}}}',
                )
                for i in range(3)
            ]
            time.sleep(0.5)
            process = self.fleet.terminate("entry-1")
            replies = [future.result() for future in futures]
            self.assertEqual(process.wait(timeout=TIMEOUT_S), 0)
        self.assertEqual([reply.status for reply in replies], [200, 200, 200])
        self.wait_until(lambda: self.send_request(key, entry="entry-2").status == 200)


if __name__ == "__main__":
    unittest.main()
