"""Tests of reading resources from files."""

import json
import pathlib
import tempfile
import unittest

from hypothesis import example, given
from hypothesis import strategies as st

from redwingslip.cli._client import Document
from redwingslip.cli._documents import (
    changed_fields,
    group_in_creation_order,
    read_documents,
)
from redwingslip.cli.exceptions import InvalidInputError
from redwingslip.fleet import Kind

SCALARS = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5)
VALUES = st.recursive(
    SCALARS,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["pool", "share", "limit", "pools", "max_run", "type"]),
            inner,
            max_size=3,
        )
    ),
    max_leaves=8,
)
DOCUMENTS = st.fixed_dictionaries(
    {"kind": st.sampled_from([*Kind, "x"]), "name": st.sampled_from(["a", "B", ""])},
    optional={"spec": VALUES, "version": VALUES, "status": VALUES, "more": VALUES},
)


class TestReadDocuments(unittest.TestCase):
    """Reading JSON files."""

    def setUp(self):
        """Create a folder for the file."""
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(folder, "fleet.json")

    def read(self, text: str) -> list[Document]:
        """Return the documents in a text, or an empty list if it is invalid."""
        self.path.write_bytes(text.encode("utf-8", "surrogatepass"))
        try:
            return read_documents([self.path])
        except InvalidInputError as exc:
            self.assertIn(str(self.path), str(exc))
            return []

    @example("[" * 100_000)
    @example('{"kind": "teams", "name": "a", "spec": {"share": NaN}}')
    @example('{"kind": "teams", "name": "a", "spec": {"share": 1e999}}')
    @example("1" * 5000)
    @example('{"kind": "queues", "name": "a", "spec": {"path": "\\ud800"}}')
    @given(st.text())
    def test_any_text_is_documents_or_invalid_input(self, text):
        """No text raises another error."""
        self.read(text)

    @given(st.lists(DOCUMENTS, max_size=3))
    def test_any_json_is_documents_or_invalid_input(self, values):
        """No JSON raises another error, and what is read can be encoded again."""
        for document in self.read(json.dumps(values)):
            json.dumps(document.spec, allow_nan=False)

    def test_single_list_and_lines_are_read_alike(self):
        """The three forms may be mixed in one file."""
        pool = '{"kind": "pools", "name": "%s"}'
        text = f"[{pool % 'a'}, {pool % 'b'}]\n{pool % 'c'}\n{pool % 'd'}"
        self.assertEqual([doc.name for doc in self.read(text)], ["a", "b", "c", "d"])

    def test_name_given_twice_is_refused(self):
        """It is ambiguous which of the two documents should be applied."""
        text = '{"kind": "pools", "name": "a"}'
        self.path.write_text(text)
        with self.assertRaisesRegex(InvalidInputError, "more than once"):
            read_documents([self.path, self.path])


class TestGroupInCreationOrder(unittest.TestCase):
    """Grouping documents in the order of creation."""

    def test_groups_refer_only_to_earlier_groups(self):
        """Pools and teams come before the resources that refer to them."""
        documents = [Document(kind=kind, name="a") for kind in sorted(Kind)]
        order = [group[0].kind for group in group_in_creation_order(documents)]
        needs = {
            Kind.VM: Kind.POOL,
            Kind.QUEUE: Kind.POOL,
            Kind.WAVE: Kind.POOL,
            Kind.KEY: Kind.TEAM,
        }
        self.assertCountEqual(order, list(Kind))
        for kind, needed in needs.items():
            self.assertLess(order.index(needed), order.index(kind))


class TestChangedFields(unittest.TestCase):
    """Comparing specifications."""

    def test_truncated_hash_is_compared_by_its_beginning(self):
        """A hash with another beginning still differs."""
        current = {"sha256": "abcd1234..."}
        self.assertEqual(changed_fields(current, {"sha256": "abcd1234" * 8}), {})
        self.assertTrue(changed_fields(current, {"sha256": "0bcd1234" * 8}))

    def test_fields_on_one_side_only_differ(self):
        """A field that a newer version adds is not ignored."""
        changed = changed_fields({"a": 1, "b": 2}, {"b": 2, "c": 3})
        self.assertEqual(changed, {"a": (1, None), "c": (None, 3)})


if __name__ == "__main__":
    unittest.main()
