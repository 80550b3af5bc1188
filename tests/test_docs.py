"""Tests that the documentation and the examples match the program."""

import asyncio
import pathlib
import re
import shlex
import tempfile
import unittest

from typer.testing import CliRunner

from redwingslip.cli._app import app
from redwingslip.cli._documents import read_documents
from redwingslip.cli.exceptions import ExitCode
from redwingslip.daemons import (
    ControllerSettings,
    EntryDaemonSettings,
    GatewaySettings,
    ReplicaDaemonSettings,
)
from redwingslip.jobs import Queue
from redwingslip.observe import EventName
from redwingslip.settings import (
    load_settings,
    render_example,
)
from redwingslip.submitters._documents import decode_job

ROOT = pathlib.Path(__file__).resolve().parent.parent
DOCS = [ROOT / "README.md", ROOT / "CHANGELOG.md", *ROOT.glob("docs/**/*.md")]
EXAMPLES = {
    "entry": EntryDaemonSettings,
    "replica": ReplicaDaemonSettings,
    "gateway": GatewaySettings,
    "controller": ControllerSettings,
}
LOCAL_EXAMPLES = ("entry", "replica")

_FENCE = re.compile(r"^( *)```(\w+)\n(.*?)^\1```$", re.MULTILINE | re.DOTALL)
_LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")
_OPTION = re.compile(r"(--[a-z][a-z-]*)")


def iter_examples(language: str):
    """Yield the file and the text of each fenced code block of a language."""
    for path in DOCS:
        for match in _FENCE.finditer(path.read_text("utf-8")):
            if match[2] == language:
                yield path, match[3]


def iter_commands():
    """Yield the file and the arguments of each redwingslip command in the examples."""
    for path, text in iter_examples("console"):
        for line in text.replace("\\\n", " ").splitlines():
            line = line.strip().removeprefix("$ ")
            match = re.search(r"(?:^|\$\()redwingslip ([^)>]*)", line)
            if match:
                yield path, shlex.split(match[1])


def help_of(*words: str) -> str:
    """Return the help text of a command."""
    result = CliRunner().invoke(app, [*words, "--help"])
    if result.exit_code:
        raise AssertionError(f"{words}: {result.output}")
    return result.output


class TestExamples(unittest.TestCase):
    """Examples in the documentation pages and in the folder ``examples``."""

    def test_commands_and_their_options_exist(self):
        """Each command in the pages exists, and its help lists the options used."""
        n_commands = 0
        for path, words in iter_commands():
            with self.subTest(f"{path.name}: {' '.join(words)}"):
                while words and words[0].startswith("--"):
                    self.assertIn(words[0], help_of())
                    words = words[2:]
                n_words = (
                    2
                    if words[:1] in (["wave"], ["key"], ["job"], ["evacuation"])
                    else 1
                )
                text = help_of(*words[:n_words])
                for option in _OPTION.findall(" ".join(words[n_words:])):
                    self.assertIn(option, text)
                n_commands += 1
        self.assertGreater(n_commands, 20)

    def test_python_examples_run(self):
        """Each Python example runs on its own."""
        for path, text in iter_examples("python"):
            with self.subTest(path.name):
                exec(compile(text, str(path), "exec"), {})

    def test_json_examples_are_valid(self):
        """Each JSON example is valid input of ``apply`` or a valid job.

        The example fleet file is valid input of ``apply`` too.
        """
        queue = Queue(name="q", host="h", path_prefix="/", pool="p")
        for path, text in iter_examples("json"):
            with self.subTest(path.name):
                if '"steps"' in text:
                    body = text.encode()
                    asyncio.run(
                        decode_job(body, job_id="0" * 16, queue=queue, customer="")
                    )
                    continue
                file = pathlib.Path(
                    self.enterContext(tempfile.TemporaryDirectory()), "example.json"
                )
                file.write_text(text)
                self.assertTrue(read_documents([file]))
        self.assertTrue(read_documents([ROOT / "examples/local/fleet.json"]))

    def test_example_settings_are_valid(self):
        """The example settings load; the full ones equal the program's description."""
        for role, type_ in EXAMPLES.items():
            path = ROOT / "examples" / f"{role}.ini"
            self.assertEqual(path.read_text("utf-8"), render_example(type_))
            load_settings(path, type_)
        for role in LOCAL_EXAMPLES:
            path = ROOT / "examples" / "local" / f"{role}.ini"
            load_settings(path, EXAMPLES[role])

    def test_local_token_fits_the_local_entry(self):
        """The hash of the token file is in the settings of the example entry."""
        token = str(ROOT / "examples/local/operator.token")
        result = CliRunner().invoke(app, ["hash-token", token])
        cfg = load_settings(ROOT / "examples/local/entry.ini", EntryDaemonSettings)
        self.assertIn(result.stdout.strip(), cfg.operators.token_sha256)


class TestPages(unittest.TestCase):
    """Links of the pages, and the names that the pages must contain."""

    def test_links_lead_to_files(self):
        """Every relative link of a page leads to an existing file."""
        for path in DOCS:
            for target in _LINK.findall(path.read_text("utf-8")):
                with self.subTest(f"{path.name}: {target}"):
                    self.assertTrue((path.parent / target).exists())

    def test_every_command_is_on_the_operators_page(self):
        """Every command is documented, also a new one."""
        page = (ROOT / "docs/operators.md").read_text("utf-8")
        for info in app.registered_commands:
            name = info.name or info.callback.__name__.replace("_", "-")
            with self.subTest(name):
                self.assertIn(f"redwingslip {name}", page)

    def test_every_exit_code_is_on_the_operators_page(self):
        """Every exit code is documented, since operators' scripts rely on them."""
        page = (ROOT / "docs/operators.md").read_text("utf-8")
        for code in ExitCode:
            with self.subTest(code.name):
                self.assertIn(f"\n| {code.value} |", page)

    def test_events_named_in_the_pages_exist(self):
        """Every event name in the pages exists, also after an event is renamed."""
        known = {name.value for name in EventName}
        kinds = "|".join(sorted({name.partition(".")[0] for name in known}))
        pattern = re.compile(rf"`((?:{kinds})\.[a-z_]+)`")
        for path in DOCS:
            for name in pattern.findall(path.read_text("utf-8")):
                with self.subTest(f"{path.name}: {name}"):
                    self.assertIn(name, known)

    def test_design_notes_are_in_the_index(self):
        """Every design note is linked from the index."""
        index = (ROOT / "docs/design/README.md").read_text("utf-8")
        for path in ROOT.glob("docs/design/*.md"):
            with self.subTest(path.name):
                self.assertIn(f"]({path.name})", f"{index}](README.md)")


if __name__ == "__main__":
    unittest.main()
