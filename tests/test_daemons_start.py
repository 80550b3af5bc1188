"""Tests that daemons start from their example pages, and name the faults of others."""

import asyncio
import os
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from scripts.fleet_processes import ROOT, free_ports

from redwingslip.settings import InvalidSettingsError, parse_settings
from tests.support_tls import Authority
from tests.test_docs import EXAMPLES

START_TIMEOUT_S = 20.0
INVALID_STATUS = 3
# Loopback addresses of the examples, whose ports may be in use on this machine.
_ADDRESS = re.compile(r"127\.0\.0\.1:(\d+)")


class StartCase(unittest.IsolatedAsyncioTestCase):
    """A folder in which daemons are started as processes."""

    def setUp(self):
        self.folder = Path(tempfile.mkdtemp(prefix="redwingslip-start-"))
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)
        (self.folder / "secrets").mkdir()
        (self.folder / "secrets/cluster").write_text("tests")
        authority = Authority(self.folder / "issued")
        files = authority.settings()
        (self.folder / "tls").mkdir()
        for path, name in (
            (files.certificate, "process.pem"),
            (files.key, "process.key"),
            (files.authority, "authority.pem"),
        ):
            shutil.copy(path, self.folder / "tls" / name)

    def settings_of(self, role):
        """Return the example page of a role, with ports that are free."""
        text = (ROOT / f"examples/{role}.ini").read_text("utf-8")
        ports = sorted(set(_ADDRESS.findall(text)))
        free = dict(zip(ports, free_ports(len(ports)), strict=True))
        text = _ADDRESS.sub(lambda match: f"127.0.0.1:{free[match[1]]}", text)
        return text

    def smallest_settings_of(self, role):
        """Return only the options that have no default, without encryption."""
        text = self.settings_of(role).partition("[tls]")
        rest = re.sub(r"\A.*?(?=\n\[|\Z)", "", text[2], flags=re.DOTALL)
        lines = (text[0] + rest).splitlines()
        kept = "\n".join(line for line in lines if line and line[0] != "#")
        # A section without options is left out.
        kept = re.sub(r"^\[\w+\]\n(?=\[|\Z)", "", kept + "\n", flags=re.MULTILINE)
        return kept + "[tls]\nenabled = no\n[logs]\n"

    def run_daemon(self, role, text):
        """Start a daemon with settings; return the process."""
        path = self.folder / f"{role}.ini"
        path.write_text(text)
        process = subprocess.Popen(
            [sys.executable, "-m", "redwingslip", role, str(path)],
            cwd=self.folder,
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    async def check_starts(self, role, text):
        """Check that a daemon reports its start, and ends cleanly on SIGTERM."""
        log = self.folder / f"{role}.jsonl"
        text = re.sub(r"(\[logs\]\n)", rf"\1path = {log}\n", text)
        process = self.run_daemon(role, text)
        async with asyncio.timeout(START_TIMEOUT_S):
            while not log.exists() or "process.started" not in log.read_text():
                self.assertIsNone(
                    process.poll(), process.poll() and process.stdout.read()
                )
                await asyncio.sleep(0.05)
        process.terminate()
        output, _ = await asyncio.to_thread(process.communicate)
        self.assertEqual((process.returncode, output), (0, ""))


class TestStarts(StartCase):
    """Each daemon with settings that are valid."""

    async def check_role(self, role, text):
        """Check a daemon on an empty folder; a replica bootstraps it first."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)
        if role == "replica":
            await asyncio.to_thread(self.run_daemon("replica-init", text).communicate)
        await self.check_starts(role, text)

    async def test_example_pages(self):
        """Guards against a documented default with which a daemon ends at once."""
        for role in EXAMPLES:
            with self.subTest(role):
                await self.check_role(role, self.settings_of(role))

    async def test_smallest_valid_settings(self):
        """Guards against an option that is needed although it has a default."""
        for role in EXAMPLES:
            with self.subTest(role):
                text = self.smallest_settings_of(role)
                (self.folder / f"{role}.jsonl").unlink(missing_ok=True)
                await self.check_role(role, text)


class TestFaults(StartCase):
    """Settings that are valid alone, and wrong on this machine or together."""

    def check_fault(self, role, text, *words):
        """Check that a daemon names the option, and what is allowed."""
        process = self.run_daemon(role, text)
        output, _ = process.communicate(timeout=START_TIMEOUT_S)
        self.assertEqual(process.returncode, INVALID_STATUS, output)
        self.assertNotIn("Traceback", output)
        for word in words:
            self.assertIn(word, output)

    def test_secret_that_cannot_be_used(self):
        """Guards against an error that names a file and not the option."""
        text = self.smallest_settings_of("gateway")
        secret = self.folder / "secrets/cluster"
        secret.write_text("\n")
        self.check_fault("gateway", text, "[cluster] secret_file", "empty")
        secret.unlink()
        self.check_fault("gateway", text, "[cluster] secret_file", "readable")

    def test_addresses_in_use(self):
        """Guards against an error that does not say which address is in use."""
        with socket.create_server(("127.0.0.1", 0)) as taken:
            used = f"127.0.0.1:{taken.getsockname()[1]}"
            for role, section, option in (
                ("gateway", "listen", "calls"),
                ("gateway", "listen", "readiness"),
                ("gateway", "peers", "listen"),
                ("controller", "listen", "calls"),
                ("entry", "http", "listen"),
            ):
                with self.subTest(role=role, section=section, option=option):
                    text = self.smallest_settings_of(role)
                    text = re.sub(
                        rf"(\[{section}\]\n(?:(?!{option} =)[^\[]*\n)*)"
                        rf"(?:{option} = .*\n)?",
                        rf"\1{option} = {used}\n",
                        text,
                        count=1,
                    )
                    self.check_fault(role, text, f"[{section}] {option}", used)

    def test_options_that_do_not_fit_together(self):
        """Guards against limits that no request can keep, and shared addresses."""
        text = self.smallest_settings_of("gateway")
        calls = re.search(r"calls = (.*)", text)[1]
        for old, new, option in (
            ("[logs]", "[http]\nmax_total_body_bytes = 1 MiB", "max_total_body_bytes"),
            ("[logs]", "[http]\nmax_connection_bytes = 1 KiB", "max_connection_bytes"),
            ("[logs]", "[http]\nmax_connections = 0", "max_connections"),
            ("[listen]", f"[listen]\nreadiness = {calls}", "readiness"),
        ):
            with self.subTest(new):
                with self.assertRaises(InvalidSettingsError) as caught:
                    parse_settings(text.replace(old, new), EXAMPLES["gateway"])
                (problem,) = caught.exception.exceptions
                self.assertEqual(problem.option, option)
