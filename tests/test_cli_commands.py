"""Tests of the commands with the arguments that operators type."""

import io
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from typer.testing import CliRunner

from redwingslip import cli
from redwingslip.cli._app import app
from redwingslip.cli._roles import main
from redwingslip.cli.exceptions import ExitCode
from redwingslip.fleet import Kind
from redwingslip.settings import EntrySettings, ReplicaSettings, render_example

from .fake_operators import TOKEN, FakeFleet, FakeServer, Fault

RESOURCES = [
    {"kind": "queues", "name": "q", "spec": {"pool": "p", "service": "s"}},
    {"kind": "vms", "name": "v1", "spec": {"pool": "p", "data_centre": "d"}},
    {"kind": "teams", "name": "t", "spec": {"share": 2, "limit": 5}},
    {"kind": "pools", "name": "p", "spec": {}},
]


class CommandTestCase(unittest.TestCase):
    """Runs commands against a fake server."""

    def setUp(self):
        """Start a server and write the resources to a file."""
        self.fleet = FakeFleet()
        self.server = self.enterContext(FakeServer(self.fleet))
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(folder)
        self.file = self.write("fleet.json", json.dumps(RESOURCES))

    def write(self, name: str, text: str) -> str:
        """Write a file and return its path."""
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def run_command(self, *args: str, exit_code: int = ExitCode.OK, **options):
        """Run a command, check its exit code and return what it printed."""
        env = {"REDWINGSLIP_SERVER": self.server.url, "REDWINGSLIP_TOKEN": TOKEN}
        result = CliRunner().invoke(app, args, env=env, **options)
        self.assertEqual(result.exit_code, exit_code, result.output)
        return result

    def run_json(self, *args: str, **options):
        """Run a command with JSON output and return the decoded output."""
        result = self.run_command("--output", "json", *args, **options)
        return json.loads(result.stdout)


class TestApply(CommandTestCase):
    """Writing resources from files."""

    def test_apply_writes_in_order_of_dependency_and_only_once(self):
        """Pools come before their VMs; a second run changes nothing."""
        results = self.run_json("apply", self.file, "--wait")
        self.assertEqual({item["action"] for item in results}, {"created"})
        again = self.run_json("apply", self.file)
        self.assertEqual({item["action"] for item in again}, {"unchanged"})
        self.assertEqual(len(self.fleet.commands), len(RESOURCES))

    def test_diff_shows_what_apply_would_change(self):
        """The exit code shows whether there are differences."""
        self.run_command("diff", self.file, exit_code=ExitCode.DIFFERENT)
        self.run_command("apply", self.file)
        self.run_command("diff", self.file)
        text = '{"kind": "teams", "name": "t", "spec": {"share": 2, "limit": 6}}'
        result = self.run_json(
            "diff", self.write("t.json", text), exit_code=ExitCode.DIFFERENT
        )
        (difference,) = result
        self.assertEqual(difference["field"], "limit")
        self.assertEqual((difference["current"], difference["wanted"]), (5, 6))

    def test_what_is_read_can_be_written_back(self):
        """The JSON output of get is valid input of apply."""
        self.run_command("apply", self.file)
        output = self.run_command("--output", "json", "get", "vms").stdout
        (result,) = self.run_json("apply", "-", input=output)
        self.assertEqual(result["action"], "unchanged")

    def test_stale_version_in_a_file_is_a_conflict(self):
        """A file that names its version does not overwrite a newer one."""
        self.run_command("apply", self.file)
        text = '{"kind": "teams", "name": "t", "spec": {"limit": 9}, "version": 1}'
        (result,) = self.run_json(
            "apply", self.write("t.json", text), exit_code=ExitCode.CONFLICT
        )
        self.assertEqual(result["action"], "failed")

    def test_all_problems_of_all_files_are_reported_together(self):
        """Nothing is written when a file is wrong."""
        bad = self.write(
            "bad.json",
            '{"kind": "pool", "name": "x"}\n'
            '{"kind": "teams", "name": "t", "spec": {"shares": 1}}\n'
            '{"kind": "teams", "name": "T!", "spec": {}}\n'
            '{"kind": "vms", "name": "v", "spec": {"type": "pools"}}\n'
            '{"kind":',
        )
        result = self.run_command("apply", self.file, bad, exit_code=ExitCode.INVALID)
        self.assertEqual(result.stderr.count("bad.json, line"), 5, result.stderr)
        self.assertEqual(self.fleet.commands, [])

    def test_apply_stops_when_no_server_answers(self):
        """Apply does not wait for a timeout at each remaining resource."""
        self.run_command("apply", self.file)
        self.server.faults.extend([None] + [Fault.LOSE] * 100)
        lines = [
            json.dumps({"kind": "pools", "name": f"n{i}", "spec": {}})
            for i in range(50)
        ]
        result = self.run_command(
            "--timeout",
            "0.5",
            "apply",
            self.write("many.json", "\n".join(lines)),
            exit_code=ExitCode.UNKNOWN_OUTCOME,
        )
        self.assertIn("repeat the command", result.stderr)
        self.assertLess(len(self.fleet.state.view.resources[Kind.POOL]), 20)


class TestGet(CommandTestCase):
    """Reading resources."""

    def test_tables_contain_specification_and_status(self):
        """A table shows the fields and whether resources are in force."""
        self.run_command("apply", self.file)
        output = self.run_command("get", "teams").stdout
        self.assertIn("limit", output)
        self.assertIn("in force", output)

    def test_failures_differ_in_their_exit_codes(self):
        """Scripts need not parse error messages."""
        self.run_command("get", "teams", "x", exit_code=ExitCode.NOT_FOUND)
        self.run_command("get", "sorts", exit_code=ExitCode.USAGE)
        self.run_command("delete", "pools", "x", exit_code=ExitCode.NOT_FOUND)
        result = self.run_command(
            "--server", "http://127.0.0.1:9", "--timeout", "0.3", "status", exit_code=8
        )
        self.assertIn("nothing was done", result.output)
        bad = self.write("token", "other")
        self.run_command("--token-file", bad, "status", exit_code=7)

    def test_token_comes_from_a_file_or_the_environment_only(self):
        """Without a token, the error explains how to pass one."""
        env = {"REDWINGSLIP_SERVER": self.server.url, "REDWINGSLIP_TOKEN": ""}
        result = CliRunner().invoke(app, ["get", "pools"], env=env)
        self.assertEqual(result.exit_code, ExitCode.INVALID)
        self.assertIn("--token-file", result.output)
        token = self.write("token", f"{TOKEN}\n")
        self.run_command("--token-file", token, "get", "pools")

    def test_errors_for_programs_are_json(self):
        """The member "kind" is the name of the exit code."""
        result = self.run_command("--output", "json", "get", "vms", "x", exit_code=6)
        self.assertEqual(json.loads(result.stderr)["kind"], "not-found")

    def test_status_shows_every_server(self):
        """An unreachable server does not hide the others."""
        servers = f"{self.server.url},http://127.0.0.1:9"
        up, down = self.run_json(
            "--server", servers, "--timeout", "0.3", "status", exit_code=8
        )
        self.assertEqual(up["entry_id"], "entry-1")
        self.assertIn("error", down)

    def test_watch_ends_once_a_version_is_in_force(self):
        """Scripts can wait for a change."""
        record = {"kind": "pools", "name": "a", "version": 3, "spec": {"spare": True}}
        self.fleet.watch_lines = [{"resource": record}, {"bookmark": 3, "in_force": 3}]
        output = self.run_command("watch", "pools", "--until-in-force", "3").stdout
        self.assertIn("pools/a version=3 spare=True", output)


class TestKeys(CommandTestCase):
    """Granting and withdrawing keys."""

    def test_granted_secret_survives_a_lost_answer(self):
        """The client generates the secret, so the resend grants the same one."""
        self.run_command("apply", self.file)
        self.server.faults.append(Fault.LOSE)
        granted = self.run_json("key", "grant", "t", "--name", "k")
        (key,) = self.fleet.state.view.resources[Kind.KEY].values()
        path = self.write("secret", granted["secret"])
        self.assertEqual(
            self.run_command("hash-token", path).stdout.strip(), key.spec.sha256
        )

    def test_withdrawn_key_is_deleted(self):
        """The command waits until the withdrawal is in force."""
        self.run_command("apply", self.file)
        self.run_command("key", "grant", "t", "--name", "k")
        self.server.faults.append(Fault.LOSE)
        self.run_command("key", "withdraw", "k")
        self.assertEqual(self.fleet.state.view.resources[Kind.KEY], {})


class TestWaves(CommandTestCase):
    """Maintenance waves."""

    def test_drain_starts_a_wave_over_the_pool(self):
        """The wave contains the pool's VMs."""
        self.run_command("apply", self.file)
        self.run_command("drain", "p", "--name", "w", "--max-parallel", "2", "--wait")
        pending = self.fleet.state.view.pending_vms("w")
        self.assertEqual([vm.name for vm in pending], ["v1"])

    def test_pause_and_resume_keep_the_rest_of_the_wave(self):
        """Only the field `paused` is changed, and only when it differs."""
        self.run_command("apply", self.file)
        self.run_command("wave", "start", "w", "--pool", "p", "--max-parallel", "2")
        for command, paused in (("pause", True), ("pause", True), ("resume", False)):
            self.run_command("wave", command, "w")
            spec = self.fleet.state.view.spec(Kind.WAVE, "w")
            self.assertEqual((spec.paused, spec.max_parallel), (paused, 2))
        self.assertEqual(len(self.fleet.commands), len(RESOURCES) + 3)
        self.assertIn("done", self.run_command("wave", "status", "w").stdout)


class TestTools(CommandTestCase):
    """Commands that need no server."""

    def test_check_settings_reports_every_problem(self):
        """For valid files, the warnings are printed."""
        text = render_example(EntrySettings)
        bad = self.write(
            "bad.ini",
            text.replace("id =", "idd =").replace("key = tls/process.key", ""),
        )
        result = self.run_command("check-settings", "entry", bad, exit_code=3)
        self.assertIn("did you mean 'id'?", result.stderr)
        self.assertIn("[tls] key is needed", result.stderr)
        good = self.write("good.ini", text.replace("#enabled = yes", "enabled = no"))
        result = self.run_command("check-settings", "entry", good)
        self.assertIn("not encrypted", result.stdout)
        result = self.run_command("check-settings", "entry", good, bad, exit_code=3)
        self.assertIn("bad.ini: [process]", result.stderr)

    def test_timeline_reads_logs(self):
        """Rotated logs are included, and a missing log is invalid input."""
        self.run_command("timeline", "/absent.log", exit_code=ExitCode.INVALID)
        log = self.write(
            "a.log",
            '{"process":"a","task_uuid":"u","task_level":[2],"timestamp":1.0,'
            '"message_type":"vm.drained","vm":"v1"}\n',
        )
        self.assertIn("vm.drained", self.run_command("timeline", log).stdout)
        self.assertEqual(self.run_json("timeline", log)["event"]["vm"], "v1")
        older = pathlib.Path(log).read_text().replace("v1", "v0").replace("[2]", "[1]")
        self.write("a.log.1", older)
        self.assertIn("vm=v0", self.run_command("timeline", log).stdout)
        picture = str(self.folder / "t.svg")
        self.run_command("timeline", log, "--picture", picture)
        self.assertTrue(os.path.getsize(picture))


class TestRoles(unittest.TestCase):
    """Starting daemons."""

    def test_roles_import_neither_typer_nor_another_role(self):
        """A replica has little memory, so it must not import unneeded libraries."""
        code = (
            "import sys, types, atexit;"
            "m = types.ModuleType('redwingslip.daemons');"
            "m.run_replica = print;"
            "sys.modules['redwingslip.daemons'] = m;"
            "sys.argv = ['redwingslip', 'replica', 'r.ini'];"
            "atexit.register(lambda: print(*sys.modules));"
            "from redwingslip.cli import main; main()"
        )
        output = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        ).stdout.split()
        self.assertEqual(output[0], "r.ini")
        heavy = {"typer", "rich", "click", "aiosonic", "starlette", "uvicorn", "eliot"}
        heavy |= {"argparse", "difflib"}
        self.assertEqual(heavy & set(output), set())

    def test_invalid_settings_end_a_role_with_their_exit_code(self):
        """An unreadable settings file is reported with the exit code for it."""
        exit_code, stderr = self.run_role("replica-init", "/absent.ini")
        self.assertEqual(exit_code, ExitCode.INVALID)
        self.assertIn("can't be read", stderr)

    def test_failure_of_a_role_is_reported_without_traceback(self):
        """A data folder is created twice, and a file is missing."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        text = render_example(ReplicaSettings).replace(
            "data/replica-1", f"{folder}/data"
        )
        path = pathlib.Path(folder, "replica.ini")
        path.write_text(text)
        self.assertEqual(self.run_role("replica-init", str(path))[0], ExitCode.OK)
        exit_code, stderr = self.run_role("replica-init", str(path))
        self.assertEqual(exit_code, ExitCode.INTERNAL)
        self.assertIn("holds a replica already", stderr)
        runners = {"replica": lambda path: pathlib.Path(folder, "no").read_text()}
        with mock.patch.dict("redwingslip.cli._roles._RUNNERS", runners):
            exit_code, stderr = self.run_role("replica", str(path))
        self.assertEqual(exit_code, ExitCode.INTERNAL)
        self.assertIn("No such file", stderr)

    def test_invalid_arguments_of_a_role_are_usage_errors(self):
        """Help ends with exit code 0, and invalid arguments with 2."""
        cases = {("entry",): 2, ("entry", "--help"): 0, ("replica", "a", "b"): 2}
        for args, expected in cases.items():
            with self.subTest(args), mock.patch("sys.stdout"), mock.patch("sys.stderr"):
                with self.assertRaises(SystemExit) as caught:
                    main(args)
                self.assertEqual(caught.exception.code, expected)

    def test_role_that_starts_is_not_ended_by_sighup(self):
        """Guards against a change of settings that ends a daemon during its start."""
        self.addCleanup(signal.signal, signal.SIGHUP, signal.getsignal(signal.SIGHUP))
        handlers = []
        runners = {
            "replica": lambda path: handlers.append(signal.getsignal(signal.SIGHUP))
        }
        with (
            mock.patch.dict("redwingslip.cli._roles._RUNNERS", runners),
            mock.patch("sys.argv", ["redwingslip", "replica", "x.ini"]),
            self.assertRaises(SystemExit),
        ):
            cli.main()
        self.assertEqual(handlers, [signal.SIG_IGN])

    def run_role(self, *args: str) -> tuple[int, str]:
        """Run a role and return its exit code and what it prints to stderr."""
        stderr = io.StringIO()
        with mock.patch("sys.stderr", stderr), mock.patch("sys.stdout"):
            exit_code = main(args)
        return exit_code, stderr.getvalue()


if __name__ == "__main__":
    unittest.main()
