"""Tests of daemons with TLS whose certificates are replaced while they run."""

import json
import shutil
import signal
import ssl
import tempfile
import time
import unittest
from pathlib import Path

from scripts.fleet_processes import FleetProcesses

from tests.support_tls import Authority

TIMEOUT_S = 40.0


class TestTls(unittest.TestCase):
    """Daemons that use TLS for their links and for HTTP."""

    def setUp(self):
        self.folder = Path(tempfile.mkdtemp(prefix="redwingslip-test-"))
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)
        self.authority = Authority(self.folder / "authority")
        tls = self.authority.settings()
        self.fleet = FleetProcesses(self.folder / "fleet", n_entries=2, tls=tls)
        self.addCleanup(self.fleet.close)
        self.fleet.bootstrap()
        self.fleet.start()

    def wait_for_leases(self):
        """Wait until every entry reports over HTTPS that it holds its lease."""
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            result = self.fleet.cli("status", check=False)
            statuses = json.loads(result.stdout or "[]")
            if statuses and all(s.get("has_lease") for s in statuses):
                return
            self.assertLess(time.monotonic(), deadline, result.stderr)
            time.sleep(0.2)

    def certificate(self):
        """Return the certificate that the first entry presents, in PEM form."""
        host, _, port = self.fleet.http_addresses["entry-1"].rpartition(":")
        return ssl.get_server_certificate((host, int(port)))

    def test_encrypted_system_works_and_reloads_its_certificate(self):
        """Writes commit over TLS; SIGHUP makes an entry serve a new certificate."""
        self.wait_for_leases()
        path = self.folder / "pool.json"
        path.write_text(json.dumps({"kind": "pools", "name": "p", "spec": {}}))
        self.fleet.cli("apply", str(path))
        old = self.certificate()
        self.authority.settings()
        for process in self.fleet.processes.values():
            process.send_signal(signal.SIGHUP)
        deadline = time.monotonic() + TIMEOUT_S
        while self.certificate() == old:
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.1)
        pool = json.loads(self.fleet.cli("get", "pools").stdout)
        self.assertEqual(pool["name"], "p")


if __name__ == "__main__":
    unittest.main()
