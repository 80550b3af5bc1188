"""Tests of the imports among the modules of a package."""

import ast
import graphlib
import pathlib
import unittest

import redwingslip

ROOT = pathlib.Path(redwingslip.__file__).parent


def imports_of(module: pathlib.Path) -> set[str]:
    """Return the modules of its own package that a module imports."""
    nodes = ast.walk(ast.parse(module.read_text(encoding="utf-8")))
    imports = [n for n in nodes if isinstance(n, ast.ImportFrom) and n.level == 1]
    names = {node.module for node in imports if node.module}
    bare = {alias.name for n in imports if not n.module for alias in n.names}
    return {name.partition(".")[0] for name in names | bare}


class TestModuleImports(unittest.TestCase):
    """Imports among the modules of a package go in one direction only."""

    def test_modules_of_a_package_do_not_import_each_other(self):
        """Guards against modules that change each other's data in both directions.

        Imports for type checking count too.
        """
        for package in sorted(ROOT.glob("*/__init__.py")):
            modules = [p for p in package.parent.glob("*.py") if p != package]
            graph = {module.stem: imports_of(module) for module in modules}
            with self.subTest(package=package.parent.name):
                try:
                    graphlib.TopologicalSorter(graph).prepare()
                except graphlib.CycleError as exc:
                    self.fail(" imports ".join(exc.args[1][::-1]))


if __name__ == "__main__":
    unittest.main()
