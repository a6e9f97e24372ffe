"""Tests of the build command in ``deploy/system.toml``."""

import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
BUILD_LIMIT_S = 120
STAND_IN_PIP = """
import os, pathlib, signal, sys
folder = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
folder.mkdir(parents=True, exist_ok=True)
with open(os.environ["HOME"] + "/calls", "a") as calls:
    calls.write("called\\n")
for name in ("httptools", "msgspec", "thrift"):
    if "nothing" in os.environ["STAND_IN"]:
        break
    (folder / f"{name}.py").write_text("")
    if "dies" in os.environ["STAND_IN"]:
        os.kill(os.getpid(), signal.SIGKILL)
"""
"""A package installer that behaves as the variable ``STAND_IN`` says."""


@pytest.fixture
def checkout(tmp_path):
    """A checkout with the deploy folder and one module to compile."""
    root = tmp_path / "checkout"
    ignored = shutil.ignore_patterns("days", "__pycache__")
    shutil.copytree(ROOT / "deploy", root / "deploy", ignore=ignored)
    (root / "notchhoist").mkdir()
    (root / "notchhoist" / "__init__.py").write_text("")
    (tmp_path / "stand-in").mkdir()
    (tmp_path / "stand-in" / "pip.py").write_text(STAND_IN_PIP)
    (tmp_path / "home").mkdir()
    return root


def build(checkout, **variables):
    """Runs the build command as the platform does; returns its status."""
    deploy = tomllib.loads((checkout / "deploy/system.toml").read_text())
    folders = (str(Path(sys.executable).parent), os.environ["PATH"])
    environment = {
        "PATH": os.pathsep.join(folders),
        "HOME": str(checkout.parent / "home"),
        "LANG": "C",
        **variables,
    }
    completed = subprocess.run(
        ["sh", "-c", deploy["build"]],
        cwd=checkout,
        env=environment,
        capture_output=True,
        check=False,
        timeout=BUILD_LIMIT_S,
    )
    return completed.returncode


def build_with_stand_in(checkout, behaviour="works"):
    """Runs the build command with the stand-in for the installer."""
    folder = str(checkout.parent / "stand-in")
    return build(checkout, PYTHONPATH=folder, STAND_IN=behaviour)


def installed(checkout):
    """Returns the modules in the folder of the packages."""
    return sorted(path.stem for path in checkout.glob("target/deps/*.py"))


def pip_calls(checkout):
    return (checkout.parent / "home" / "calls").read_text().count("called")


ALL = ["httptools", "msgspec", "thrift"]


def test_a_build_without_a_package_registry_fails(checkout):
    status = build(
        checkout,
        PIP_INDEX_URL="http://127.0.0.1:9/",
        PIP_RETRIES="0",
        PIP_CONFIG_FILE="/dev/null",
    )
    assert status != 0


@pytest.mark.parametrize("behaviour", ["dies", "nothing"])
def test_a_build_fails_without_all_packages_and_the_next_one_installs_them(
    checkout, behaviour
):
    assert build_with_stand_in(checkout, behaviour) != 0
    assert build_with_stand_in(checkout) == 0
    assert installed(checkout) == ALL


def test_a_build_of_unchanged_packages_installs_nothing(checkout):
    assert build_with_stand_in(checkout) == 0
    assert build_with_stand_in(checkout) == 0
    assert pip_calls(checkout) == 1


def test_packages_of_former_requirements_are_replaced(checkout):
    assert build_with_stand_in(checkout) == 0
    requirements = checkout / "deploy" / "requirements.txt"
    requirements.write_text(requirements.read_text() + "# changed\n")
    os.utime(requirements, (0, 0))
    assert build_with_stand_in(checkout) == 0
    assert pip_calls(checkout) == 2


def test_packages_that_no_stamp_describes_are_replaced(checkout):
    """Guards against folders that a failed or former build has left."""
    (checkout / "target" / "deps").mkdir(parents=True)
    assert build_with_stand_in(checkout) == 0
    assert installed(checkout) == ALL


@pytest.mark.parametrize(
    "suffix", [".cpython-311-riscv64-linux-gnu.so", ".cpython-39-other.so"]
)
def test_packages_of_another_machine_or_python_are_replaced(checkout, suffix):
    assert build_with_stand_in(checkout) == 0
    stamp = checkout / "target" / "deps" / "BUILD"
    stamp.write_text(" ".join([suffix, stamp.read_text().split()[1]]) + "\n")
    assert build_with_stand_in(checkout) == 0
    assert pip_calls(checkout) == 2


def test_packages_that_were_copied_in_part_are_replaced(checkout):
    assert build_with_stand_in(checkout) == 0
    (checkout / "target" / "deps" / "msgspec.py").unlink()
    shutil.rmtree(checkout / "target" / "deps" / "__pycache__")
    assert build_with_stand_in(checkout) == 0
    assert installed(checkout) == ALL


def test_a_failed_installation_leaves_the_former_packages(checkout):
    assert build_with_stand_in(checkout) == 0
    requirements = checkout / "deploy" / "requirements.txt"
    former = requirements.read_text()
    requirements.write_text(former + "# changed\n")
    assert build_with_stand_in(checkout, "dies") != 0
    assert installed(checkout) == ALL
    requirements.write_text(former)
    assert build_with_stand_in(checkout) == 0
    assert pip_calls(checkout) == 2


def test_a_module_that_cannot_be_compiled_fails_the_build(checkout):
    (checkout / "notchhoist" / "broken.py").write_text("def\n")
    assert build_with_stand_in(checkout) != 0
