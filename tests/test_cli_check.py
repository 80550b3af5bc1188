"""Tests of the command `check-config`, against a fake server."""

import json
import threading
from http.server import BaseHTTPRequestHandler, HTTPServer

from redwingslip.cli._check_commands import _in_order
from redwingslip.cli._client import Document
from redwingslip.fleet import Kind
from tests.test_checking_plans import CONFIG, encode
from tests.test_cli_commands import RESOURCES, CommandTestCase

CLEAN, FOUND, UNREADABLE = 0, 1, 2
POOL = {"kind": "pools", "name": "p", "spec": {"max_unavailable": 0}}


class ConfigHandler(BaseHTTPRequestHandler):
    """Answers as a controller with the configuration of version 7."""

    def do_GET(self):
        """Send the document."""
        body = encode()
        self.send_response(200 if self.path == "/config/read" else 404)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *args):
        """Print nothing."""


class TestCheckConfig(CommandTestCase):
    """Exit codes, places and comparisons."""

    def test_exit_codes(self):
        """Scripts rely on them."""
        self.run_command("check-config", self.file, exit_code=CLEAN)
        bad = self.write("bad.json", json.dumps([*RESOURCES[:3], POOL]))
        result = self.run_command("check-config", bad, exit_code=FOUND)
        self.assertIn("resource 4: pools/p", result.stdout)
        for path in ("missing.json", self.write("half.json", '{"routes":')):
            self.run_command("check-config", path, exit_code=UNREADABLE)
        args = ("check-config", self.file, "--against", "missing.json")
        self.run_command(*args, exit_code=UNREADABLE)

    def test_wrong_and_repeated_resources_are_findings_with_their_place(self):
        bad = [{**POOL, "spec": {"size": 1}}, POOL, POOL]
        path = self.write("bad.json", "\n".join(json.dumps(item) for item in bad))
        report = self.run_json("check-config", path, exit_code=FOUND)
        errors = [f for f in report["findings"] if f["severity"] == "error"]
        self.assertEqual(len(errors), 2)
        self.assertIn("line 1, resource 1", errors[0]["place"])
        self.assertIn("line 3, resource 1", errors[1]["place"])

    def test_resources_against_a_server(self):
        """A file may refer to what the servers have; keys there are shortened."""
        key = {"team": "t", "sha256": "ab" * 32}
        keys = json.dumps({"kind": "keys", "name": "k", "spec": key})
        self.run_command("apply", self.file, self.write("key.json", keys))
        queue = {"kind": "queues", "name": "n", "spec": {"pool": "p", "service": "s"}}
        path = self.write("new.json", json.dumps([queue, POOL]))
        args = ("check-config", path, "--against", self.server.url)
        report = self.run_json(*args, exit_code=FOUND)
        changes = {(c["kind"], c["field"]) for c in report["changes"]}
        self.assertEqual(changes, {("queues", ""), ("pools", "max_unavailable")})
        self.run_command("check-config", path, exit_code=FOUND)
        spec = {"team": "t", "sha256": "abababab..."}
        (key,) = _in_order([("", Document(kind=Kind.KEY, name="k", spec=spec))])
        self.assertEqual(key.spec.sha256, "abababab" + "0" * 56)

    def test_a_configuration_against_a_controller(self):
        """The controllers answer with the document in force."""
        server = self.enterContext(HTTPServer(("127.0.0.1", 0), ConfigHandler))
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        self.addCleanup(thread.join)
        self.addCleanup(server.shutdown)
        url = f"http://127.0.0.1:{server.server_port}"
        new = self.write("new.json", encode(version=6).decode())
        args = ("check-config", new, "--against")
        report = self.run_json(*args, url, exit_code=FOUND)
        self.assertIn("has no effect", report["findings"][0]["problem"])
        self.run_command(*args, f"{url}/elsewhere", exit_code=UNREADABLE)

    def test_a_configuration_against_a_file(self):
        old = self.write("old.json", encode().decode())
        routes = [{**CONFIG["routes"][0], "stretch": 3.0}]
        new = self.write("new.json", encode(routes, version=8).decode())
        report = self.run_json("check-config", new, "--against", old, exit_code=CLEAN)
        (change,) = report["changes"]
        self.assertEqual((change["field"], change["wanted"]), ("stretch", 3.0))
        table = self.run_command("check-config", new, "--against", old).stdout
        self.assertIn("queue/r", table)
