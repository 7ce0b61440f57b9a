"""Tests of scripts/lint-units, which skips units for which an identical check was clean."""

import os
import pathlib
import subprocess
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
TOOL = ROOT / "scripts" / "lint-units"
CLEAN_HEADER = "#pragma once\ninline int twice(int value) { return 2 * value; }\n"
FAULTY_HEADER = ("#pragma once\ninline int twice(int value) {\n"
                 "  int* none = nullptr;\n  return value > 7 ? *none : 2 * value;\n}\n")
BUILD_FILE = """cmake_minimum_required(VERSION 3.25)
project(sample LANGUAGES CXX)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
add_library(sample STATIC src/a.cpp src/b.cpp)
"""


class LintUnitsTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.root = pathlib.Path(self.folder.name) / "checkout"
        (self.root / "src").mkdir(parents=True)
        self.write("CMakeLists.txt", BUILD_FILE)
        self.write(".clang-tidy", (ROOT / ".clang-tidy").read_text())
        self.write("src/shared.h", CLEAN_HEADER)
        for unit in ("a", "b"):
            self.write(f"src/{unit}.cpp",
                       f'#include "shared.h"\nint {unit}(int value) {{ return twice(value); }}\n')

    def tearDown(self):
        self.folder.cleanup()

    def write(self, path, text):
        (self.root / path).write_text(text)

    def lint(self, *options):
        """Builds and checks both units: (exit code, last line, findings)."""
        build = ["cmake", "-S", ".", "-B", "build", "-G", "Ninja"]
        for command in (build, ["cmake", "--build", "build"]):
            subprocess.run(command, cwd=self.root, check=True, capture_output=True)
        environment = {**os.environ, "XDG_CACHE_HOME": str(pathlib.Path(self.folder.name) / "cache")}
        result = subprocess.run([TOOL, *options, "build", "src/a.cpp", "src/b.cpp"], cwd=self.root,
                                env=environment, capture_output=True, text=True)
        return result.returncode, result.stdout.strip(), result.stderr

    def test_only_changed_units_are_checked(self):
        self.assertEqual((0, "lint: 2 units, 2 checked, 0 with findings"), self.lint()[:2])
        self.assertEqual((0, "lint: 2 units, 0 checked, 0 with findings"), self.lint()[:2])
        self.write("src/a.cpp", '#include "shared.h"\nint a() { return twice(2); }\n')
        self.assertEqual((0, "lint: 2 units, 1 checked, 0 with findings"), self.lint()[:2])
        self.assertEqual((0, "lint: 2 units, 2 checked, 0 with findings"), self.lint("--all")[:2])

    def test_a_fault_in_a_header_is_found_in_every_run_with_a_full_cache(self):
        self.lint()
        self.write("src/shared.h", FAULTY_HEADER)
        for _ in range(2):
            status, summary, findings = self.lint()
            self.assertEqual((1, "lint: 2 units, 2 checked, 2 with findings"), (status, summary))
            self.assertIn("src/shared.h", findings)
        self.write("src/shared.h", CLEAN_HEADER)
        self.assertEqual((0, "lint: 2 units, 0 checked, 0 with findings"), self.lint()[:2])

    def test_other_checks_look_at_every_unit_again(self):
        self.lint()
        self.write(".clang-tidy", (ROOT / ".clang-tidy").read_text() + "# other\n")
        self.assertEqual("lint: 2 units, 2 checked, 0 with findings", self.lint()[1])

    def test_another_checkout_shares_the_verdicts(self):
        self.lint()
        moved = self.root.with_name("another")
        self.root.rename(moved)
        self.root = moved
        subprocess.run(["rm", "-rf", "build"], cwd=self.root, check=True)
        self.assertEqual("lint: 2 units, 0 checked, 0 with findings", self.lint()[1])


if __name__ == "__main__":
    unittest.main()
