"""Tests of API keys and bearer tokens."""

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
    """Tests of `authenticate`."""

    def setUp(self):
        """Grant one key to each of two teams."""
        self.state = FleetState()
        self.secrets = {}
        for index, team in enumerate(("smiths", "tilers")):
            secret = make_secret(f"{team}.1")
            self.secrets[team] = secret
            key = KeySpec(team=team, sha256=hash_secret(secret))
            self.put(3 * index + 1, team, TeamSpec())
            self.put(3 * index + 2, f"{team}.1", key)

    def put(self, index, name, spec):
        """Write a resource to the fleet state."""
        self.state.apply(index, PutResource(name=name, spec=spec))

    def test_secret_authenticates_its_own_team(self):
        """Each secret authenticates the team that it was granted to."""
        for team, secret in self.secrets.items():
            self.assertEqual(authenticate(self.state.view, secret), team)

    def test_only_the_complete_secret_authenticates(self):
        """A secret that is truncated, made up or has another name is refused."""
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
        for wrong_secret in cases:
            with self.subTest(wrong_secret), self.assertRaises(UnauthorizedError):
                authenticate(self.state.view, wrong_secret)

    def test_withdrawn_secret_is_refused(self):
        """A deleted key is refused, and other keys stay valid."""
        self.state.apply(9, DeleteResource(kind=Kind.KEY, name="smiths.1"))
        with self.assertRaises(UnauthorizedError):
            authenticate(self.state.view, self.secrets["smiths"])
        self.assertEqual(
            authenticate(self.state.view, self.secrets["tilers"]), "tilers"
        )


class TestTokens(unittest.TestCase):
    """Tests of the syntax of secrets and ``Authorization`` headers."""

    def test_name_is_parsed_from_a_secret(self):
        """The name in a secret may contain dots and dashes."""
        for name in ("a", "a-b.c", "smiths-0f"):
            self.assertEqual(parse_key(make_secret(name)), name)
        for text in ("", "rw", "rw.a", "xx.a.b", "rw..b", "rw.a."):
            self.assertIsNone(parse_key(text))

    def test_header_forms(self):
        """The scheme is case-insensitive, and other schemes have no token."""
        self.assertEqual(bearer_token("bEARER  abc "), "abc")
        for header in (None, "", "Bearer", "Bearer ", "Basic abc"):
            self.assertIsNone(bearer_token(header))

    def test_token_may_match_any_hash(self):
        """A token is known if any of the hashes matches it."""
        hashes = (hash_secret("old"), hash_secret("new"))
        self.assertTrue(has_known_token("Bearer new", hashes))
        self.assertFalse(has_known_token("Bearer other", hashes))
        self.assertFalse(has_known_token("Bearer new", ()))


if __name__ == "__main__":
    unittest.main()
