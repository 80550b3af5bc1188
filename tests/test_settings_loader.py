"""Tests of loading settings files."""

import pathlib
import tempfile
import unittest
from datetime import timedelta
from typing import Annotated

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from redwingslip.settings import (
    EntrySettings,
    InvalidSettingsError,
    ReplicaSettings,
    RequestLogging,
    SettingsError,
    find_warnings,
    load_settings,
    parse_settings,
    render_example,
)

KEY_LINE = "key = tls/process.key\n"

BASE = render_example(EntrySettings).replace("#enabled = yes", "enabled = no")

# Independent faults. The key is the section and option that must be reported; the value
# is a correct text in BASE and the faulty text that replaces it.
FAULTS = {
    ("process", "id"): ("id = entry-1", "id = entry 1"),
    ("process", "data_center"): ("#region = default", "data_center = x"),
    ("peers", "listen"): ("listen = 127.0.0.1:7101", "listen = localhost:7101"),
    ("replicas", "replica-1"): ("127.0.0.1:7001", "127.0.0.1:70010"),
    ("http", "listen"): ("listen = 127.0.0.1:8101\n", ""),
    ("operators", "token_sha256"): ("0" * 64, "secret"),
    ("endpoints", "token_sha256"): ("1" * 64, "1" * 63),
    ("cluster", "secret_file"): ("secret_file = secrets/cluster", "secret_file ="),
    ("tls", "enabled"): ("enabled = no", "enabled = 0"),
    ("entry", "drain_grace"): ("#drain_grace = 1 min", "drain_grace = 60"),
    ("leases", "margin"): ("#margin = 200 ms", "margin = 0 s"),
    ("requests", "retry_budget"): ("#retry_budget = 0.1", "retry_budget = 1.5"),
    ("requests", "max_recorded_answer_bytes"): (
        "#max_recorded_answer_bytes = 64 KiB",
        "max_recorded_answer_bytes = 64",
    ),
    ("logs", "requests"): ("#requests = all", "requests = some"),
    ("metrik", ""): ("[metrics]", "[metrik]"),
}


def problems_of(text: str, type_=EntrySettings) -> list[SettingsError]:
    """Return the problems that are reported for a text."""
    try:
        parse_settings(text, type_)
    except InvalidSettingsError as exc:
        return list(exc.exceptions)
    return []


class TestParseSettings(unittest.TestCase):
    """Parsing a text into typed sections."""

    def test_values_have_their_types(self):
        """Durations, sizes, enums, lists and addresses are converted."""
        text = BASE.replace("#margin = 200 ms", "margin = 0.25 s")
        text = text.replace("#requests = all", "requests = problems")
        text = text.replace("#max_file_bytes = 64 MiB", "max_file_bytes = 64 KiB")
        text = text.replace("0" * 64, "0" * 64 + ",\n  " + "a" * 64)
        cfg = parse_settings(text, EntrySettings)
        self.assertEqual(cfg.leases.margin, timedelta(milliseconds=250))
        self.assertIs(cfg.logs.requests, RequestLogging.PROBLEMS)
        self.assertEqual(cfg.logs.max_file_bytes, 65_536)
        self.assertEqual(cfg.operators.token_sha256, ("0" * 64, "a" * 64))
        addresses = {f"replica-{n}": f"127.0.0.1:{7000 + n}" for n in (1, 2, 3)}
        self.assertEqual(cfg.replicas, addresses)

    def test_example_of_each_role_loads(self):
        """The output of `render_example` is a valid file."""
        for type_ in (EntrySettings, ReplicaSettings):
            with self.subTest(type_.__name__):
                self.assertEqual(problems_of(render_example(type_), type_), [])

    def test_unknown_names_get_the_nearest_known_one(self):
        """The message about a mistyped section or option suggests the right name."""
        text = BASE.replace("[leases]", "[lease]").replace("id =", "idd =", 1)
        messages = [str(problem) for problem in problems_of(text)]
        self.assertTrue(any("did you mean 'leases'?" in m for m in messages), messages)
        self.assertTrue(any("did you mean 'id'?" in m for m in messages), messages)

    def test_default_section_of_the_parser_is_not_special(self):
        """[DEFAULT] is an unknown section and adds no options to the others."""
        (problem,) = problems_of(BASE + "\n[DEFAULT]\nregion = x\n")
        self.assertEqual(problem.section, "DEFAULT")

    def test_repeated_names_are_reported_with_the_rest(self):
        """A repeated option does not hide a later problem."""
        text = BASE.replace("id = entry-1", "id = entry-1\nid = entry-2")
        text = text.replace("#interval = 15 s", "interval = soon")
        places = {(p.section, p.option) for p in problems_of(text)}
        self.assertEqual(places, {("process", "id"), ("metrics", "interval")})

    def test_several_repeated_names_are_reported_together(self):
        """Each repetition is a problem of its own."""
        text = BASE.replace("id = entry-1", "id = entry-1\nid = entry-2")
        text = text.replace("enabled = no", "enabled = no\nenabled = yes")
        text += "\n[process]\nregion = x\n"
        places = {(p.section, p.option) for p in problems_of(text)}
        self.assertLessEqual(
            {("process", "id"), ("tls", "enabled"), ("process", "")}, places
        )

    def test_malformed_lines_are_reported_with_the_rest(self):
        """A line without '=' or before any section does not hide other problems."""
        text = "stray\n" + BASE.replace("[peers]", "[peers]\nnonsense")
        text = text.replace("#interval = 15 s", "interval = soon")
        messages = [str(problem) for problem in problems_of(text)]
        self.assertEqual(len(messages), 3, messages)

    def test_checks_over_several_options(self):
        """Lease times, encryption and replicas must fit together."""
        cases = {
            ("leases", "margin"): ("#margin = 200 ms", "margin = 2 s"),
            ("leases", "renewal"): ("#renewal = 300 ms", "renewal = 1 s"),
            ("metrics", "path"): ("#exporter = none", "exporter = json-file"),
            ("process", "id"): ("id = entry-1", "id = replica-1"),
            ("replicas", "b"): ("replica-1 =", "b = 127.0.0.1:7001\nreplica-1 ="),
        }
        for place, (old, new) in cases.items():
            with self.subTest(place):
                places = {
                    (p.section, p.option) for p in problems_of(BASE.replace(old, new))
                }
                if place[0] == "replicas":
                    place = ("replicas", "replica-1")
                self.assertIn(place, places)

    def test_addresses_must_be_reachable_by_other_processes(self):
        """Wildcards are refused, and a replica listens on its address in [replicas]."""
        text = BASE.replace("listen = 127.0.0.1:7101", "listen = 0.0.0.0:7101")
        (problem,) = problems_of(text)
        self.assertEqual((problem.section, problem.option), ("peers", "listen"))
        text = render_example(ReplicaSettings)
        text = text.replace("listen = 127.0.0.1:7001", "listen = 127.0.0.1:7009")
        (problem,) = problems_of(text, ReplicaSettings)
        self.assertEqual((problem.section, problem.option), ("peers", "listen"))

    def test_valid_but_unsafe_settings_cause_warnings(self):
        """No encryption, too few replicas, and a wildcard in Location headers."""
        text = BASE.replace("replica-3 =", "#").replace(
            "listen = 127.0.0.1:8101", "listen = [::]:8101"
        )
        warnings = find_warnings(parse_settings(text, EntrySettings))
        self.assertEqual(len(warnings), 3, warnings)
        cfg = parse_settings(render_example(ReplicaSettings), ReplicaSettings)
        self.assertEqual(find_warnings(cfg), ())

    def test_encryption_needs_its_files(self):
        """A missing key is valid only if encryption is explicitly disabled."""
        text = render_example(EntrySettings).replace(KEY_LINE, "")
        (problem,) = problems_of(text)
        self.assertEqual((problem.section, problem.option), ("tls", "key"))
        text = text.replace("#enabled = yes", "enabled = no")
        self.assertEqual(problems_of(text), [])

    @given(st.sets(st.sampled_from(sorted(FAULTS)), min_size=1))
    def test_all_problems_are_reported_together(self, places):
        """Any set of faults is reported completely."""
        text = BASE
        for place in places:
            old, new = FAULTS[place]
            self.assertIn(old, text)
            text = text.replace(old, new, 1)
        reported = [(p.section, p.option) for p in problems_of(text)]
        self.assertCountEqual(reported, places)

    @given(st.text())
    def test_any_text_is_settings_or_a_group_of_problems(self, text):
        """No text raises another error than the group."""
        for problem in problems_of(text):
            self.assertIsInstance(problem, SettingsError)

    @given(st.data())
    def test_any_ini_is_settings_or_a_group_of_problems(self, data):
        """No mix of known names and unusual values raises another error."""
        names = st.sampled_from([*EntrySettings.__struct_fields__, "proces", "DEFAULT"])
        options = st.sampled_from(
            [
                "id",
                "listen",
                "duration",
                "margin",
                "path",
                "enabled",
                "a:b",
                "key",
                "token_sha256",
                "retry_budget",
                "max_file_bytes",
                "claim_window",
            ]
        )
        values = st.one_of(
            st.text(max_size=12),
            st.sampled_from(["none", "1e400 s", "9" * 5000, "nan", "-1 s", "1 ms"]),
            st.sampled_from(["[::1]:80", "127.0.0.1:", "1.1.1.1:٣", "999999999 d"]),
            st.sampled_from(["\0", "1" * 5000 + " d", "%(id)s", "²", "yes", "0.5 B"]),
        )
        lines = []
        for section in data.draw(st.lists(names, max_size=6)):
            lines.append(f"[{section}]")
            for option in data.draw(st.lists(options, max_size=4)):
                lines.append(f"{option} = {data.draw(values)}")
        for problem in problems_of("\n".join(lines)):
            self.assertIsInstance(problem, SettingsError)


class TestLoadSettings(unittest.TestCase):
    """Loading files."""

    def test_unreadable_files_are_reported_as_settings_errors(self):
        """A missing file, a folder and bytes that are not UTF-8 are reported."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "latin.ini")
            path.write_bytes(b"[process]\nid = \xff\n")
            for bad in (path, folder, pathlib.Path(folder, "absent.ini")):
                with self.subTest(bad), self.assertRaises(InvalidSettingsError):
                    load_settings(bad, EntrySettings)

    def test_package_can_add_a_section_of_its_own(self):
        """A struct of any package can be a section."""

        class Extra(msgspec.Struct, frozen=True, kw_only=True):
            """A section of another package."""

            wait: timedelta = timedelta(0)
            share: Annotated[float, msgspec.Meta(gt=0)] = 1.0

        class Settings(msgspec.Struct, frozen=True, kw_only=True):
            """Settings with that section."""

            extra: Extra = Extra()

        cfg = parse_settings("[extra]\nwait = 0 s\n", Settings)
        self.assertEqual(cfg.extra.wait, timedelta(0))
        (problem,) = problems_of("[extra]\nshare = 0\n", Settings)
        self.assertEqual(problem.option, "share")


class Inner(msgspec.Struct, frozen=True, kw_only=True):
    """A nested struct, which is not an option."""


class OwnSection(msgspec.Struct, frozen=True, kw_only=True):
    """A section that validates itself in `__post_init__`.

    Attributes
    ----------
    low, high : int
        The bounds.
    names : tuple of str
        Some names.
    """

    low: int = 1
    high: int = 2
    names: tuple[str, ...] = msgspec.field(default_factory=tuple)
    inner: Inner = Inner()

    def __post_init__(self) -> None:
        """Check the bounds against each other."""
        if self.low > self.high:
            raise ValueError("low must not exceed high")


class RequiredSection(msgspec.Struct, frozen=True, kw_only=True):
    """A section with an option that has no example."""

    word: str


class ComposedSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that another package composes of its own sections."""

    own: OwnSection = OwnSection()
    other: RequiredSection | None = None


class TestSectionsOfOtherPackages(unittest.TestCase):
    """Sections that other packages define."""

    def test_check_within_a_section_is_a_problem_like_others(self):
        """A ValueError raised by the struct is reported like other problems."""
        text = "[own]\nlow = 3\n[other]\n"
        places = [(p.section, p.option) for p in problems_of(text, ComposedSettings)]
        self.assertEqual(places, [("own", ""), ("other", "word")])

    def test_section_may_be_left_out(self):
        """An optional section is None if its header is missing."""
        self.assertIsNone(parse_settings("", ComposedSettings).other)
        cfg = parse_settings("[other]\nword = x\n", ComposedSettings)
        self.assertEqual(cfg.other.word, "x")

    def test_nested_struct_is_not_an_option(self):
        """A nested struct has no notation in a settings file, so it can't be set."""
        (problem,) = problems_of("[own]\ninner = 1\n", ComposedSettings)
        self.assertEqual((problem.section, problem.option), ("own", "inner"))

    def test_left_out_options_are_those_of_the_left_out_section(self):
        """Guards against one option that resets the others of its section."""

        class Settings(msgspec.Struct, frozen=True, kw_only=True):
            own: OwnSection = OwnSection(low=5, high=9, names=("a",))

        cfg = parse_settings("[own]\nhigh = 7\n", Settings)
        self.assertEqual(cfg.own, OwnSection(low=5, high=7, names=("a",)))
        self.assertIn("#low = 5", render_example(Settings))

    def test_description_can_be_read_back(self):
        """An optional section and an option without an example are commented out."""
        text = render_example(ComposedSettings)
        self.assertEqual(parse_settings(text, ComposedSettings), ComposedSettings())
        self.assertIn("#low = 1", text)
        self.assertIn("#[other]", text)
        self.assertNotIn("inner", text)


if __name__ == "__main__":
    unittest.main()
