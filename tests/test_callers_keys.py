"""Tests of keys."""

import unittest

from redwingslip.callers import (
    UnauthorizedError,
    authenticate,
    bearer_token,
    has_known_token,
    hash_secret,
    make_secret,
    parse_key,
)
from redwingslip.fleet import (
    DeleteResource,
    FleetState,
    KeySpec,
    Kind,
    PutResource,
    TeamSpec,
)


class TestAuthenticate(unittest.TestCase):
    """authenticate."""

    def setUp(self):
        """Grant a team a key, and another team one."""
        self.state = FleetState()
        self.secrets = {}
        for index, team in enumerate(("smiths", "tilers")):
            secret = make_secret(f"{team}.1")
            self.secrets[team] = secret
            key = KeySpec(team=team, sha256=hash_secret(secret))
            self.put(3 * index + 1, team, TeamSpec())
            self.put(3 * index + 2, f"{team}.1", key)

    def put(self, index, name, spec):
        """Write a resource."""
        self.state.apply(index, PutResource(name=name, spec=spec))

    def test_secret_opens_for_its_own_team(self):
        """Each secret is known as its own team's."""
        for team, secret in self.secrets.items():
            self.assertEqual(authenticate(self.state.view, secret), team)

    def test_only_the_whole_secret_opens(self):
        """A secret that is cut, guessed or under another name is refused."""
        secret = self.secrets["smiths"]
        random = secret.rpartition(".")[2]
        cases = (
            None,
            "",
            "rw",
            secret[:-1],
            secret + "x",
            random,
            f"rw.tilers.1.{random}",
            f"rw.other.{random}",
            make_secret("smiths.1"),
            self.state.view.key("smiths.1").sha256,
        )
        for wrong in cases:
            with self.subTest(wrong), self.assertRaises(UnauthorizedError):
                authenticate(self.state.view, wrong)

    def test_withdrawn_secret_is_refused(self):
        """A deleted key opens nothing, the others go on."""
        self.state.apply(9, DeleteResource(kind=Kind.KEY, name="smiths.1"))
        with self.assertRaises(UnauthorizedError):
            authenticate(self.state.view, self.secrets["smiths"])
        self.assertEqual(
            authenticate(self.state.view, self.secrets["tilers"]), "tilers"
        )


class TestTokens(unittest.TestCase):
    """Bearer tokens."""

    def test_name_is_read_back(self):
        """A secret carries its name, dots and dashes included."""
        for name in ("a", "a-b.c", "smiths-0f"):
            self.assertEqual(parse_key(make_secret(name)), name)
        for text in ("", "rw", "rw.a", "xx.a.b", "rw..b", "rw.a."):
            self.assertIsNone(parse_key(text))

    def test_header_forms(self):
        """The scheme may be in any case; other schemes bear no token."""
        self.assertEqual(bearer_token("bEARER  abc "), "abc")
        for header in (None, "", "Bearer", "Bearer ", "Basic abc"):
            self.assertIsNone(bearer_token(header))

    def test_any_of_the_hashes(self):
        """A token is known when one of the hashes is its own."""
        hashes = (hash_secret("old"), hash_secret("new"))
        self.assertTrue(has_known_token("Bearer new", hashes))
        self.assertFalse(has_known_token("Bearer other", hashes))
        self.assertFalse(has_known_token("Bearer new", ()))


if __name__ == "__main__":
    unittest.main()
