"""Installs the packages of the daemons below target/ and compiles all modules.

    python3 deploy/build.py

Run from the root by the build command of ``deploy/system.toml``. Packages are
installed into a fresh folder, which becomes ``target/deps`` only when all of
them can be loaded. A stamp in the folder tells which packages it holds and for
which interpreter; they are installed again if it does not match, or if they
cannot be loaded.

Exits with a status other than 0 if anything failed. ``target/deps`` is then the
former folder, or missing.
"""

import compileall
import fcntl
import hashlib
import importlib.machinery
import os
import shutil
import subprocess
import sys

REQUIREMENTS = os.path.join("deploy", "requirements.txt")
TARGET = "target"
PACKAGES = os.path.join(TARGET, "deps")
NEW_PACKAGES = os.path.join(TARGET, "deps.new")
OLD_PACKAGES = os.path.join(TARGET, "deps.old")
STAMP = "BUILD"
"""File in the folder of the packages that is written last."""


class BuildError(Exception):
    """Raised if a step of the build fails."""


def make_stamp(requirements: bytes) -> str:
    """Returns the stamp of a folder with all packages.

    The suffix of extension modules names the Python version, its ABI, the kind
    of machine and the system's C library.

    Args:
        requirements: Contents of the requirements file.
    """
    suffix = importlib.machinery.EXTENSION_SUFFIXES[0]
    return f"{suffix} {hashlib.sha256(requirements).hexdigest()}\n"


def read_stamp(folder: str) -> str:
    """Returns the stamp of a folder; empty if there is none."""
    try:
        with open(os.path.join(folder, STAMP), encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError):
        return ""


def package_names(requirements: bytes) -> list[str]:
    r"""Returns the modules of pinned packages, which are named like these.

    Examples:
        >>> package_names(b"# pinned\nmsgspec==0.23.0\n")
        ['msgspec']
    """
    lines = requirements.decode().splitlines()
    return [line.split("==")[0] for line in lines if "==" in line]


def loading_error(folder: str, requirements: bytes) -> str:
    """Loads the packages from a folder alone.

    Args:
        folder: Folder of the packages.
        requirements: Contents of the requirements file.

    Returns:
        The last line of the error; empty if all packages can be loaded.
    """
    names = ", ".join(package_names(requirements))
    loaded = subprocess.run(
        [sys.executable, "-S", "-c", f"import {names}"],
        env={**os.environ, "PYTHONPATH": folder},
        stderr=subprocess.PIPE,
        text=True,
        check=False,
    )
    if loaded.returncode == 0:
        return ""
    return loaded.stderr.strip().rpartition("\n")[2] or "no error text"


def is_up_to_date(requirements: bytes) -> bool:
    """Returns whether the packages in place can be used as they are."""
    if read_stamp(PACKAGES) != make_stamp(requirements):
        return False
    return not loading_error(PACKAGES, requirements)


def remove_folder(folder: str) -> None:
    """Removes a folder if it exists.

    Raises:
        OSError: It cannot be removed.
    """
    if os.path.lexists(folder):
        shutil.rmtree(folder)


def install(requirements: bytes) -> None:
    """Installs the packages into a fresh folder and puts it in place.

    Args:
        requirements: Contents of the requirements file.

    Raises:
        OSError: A folder cannot be written.
        BuildError: The packages were not installed or cannot be loaded.
    """
    remove_folder(NEW_PACKAGES)
    command = [sys.executable, "-m", "pip", "install", "-q"]
    command += ["--target", NEW_PACKAGES, "-r", REQUIREMENTS]
    status = subprocess.run(command, check=False).returncode
    if status != 0:
        raise BuildError(f"pip ended with status {status}")
    if error := loading_error(NEW_PACKAGES, requirements):
        raise BuildError(f"the installed packages cannot be loaded: {error}")
    with open(os.path.join(NEW_PACKAGES, STAMP), "w", encoding="utf-8") as file:
        file.write(make_stamp(requirements))
    remove_folder(OLD_PACKAGES)
    if os.path.lexists(PACKAGES):
        os.rename(PACKAGES, OLD_PACKAGES)
    os.rename(NEW_PACKAGES, PACKAGES)
    remove_folder(OLD_PACKAGES)


def build() -> None:
    """Builds everything that is missing or out of date.

    Raises:
        OSError: A file or folder cannot be read or written.
        BuildError: A step failed.
    """
    with open(REQUIREMENTS, "rb") as file:
        requirements = file.read()
    os.makedirs(TARGET, exist_ok=True)
    with open(os.path.join(TARGET, "build.lock"), "w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        if not is_up_to_date(requirements):
            install(requirements)
        for folder in ("notchhoist", PACKAGES):
            if not compileall.compile_dir(folder, quiet=1):
                raise BuildError(f"modules in {folder} cannot be compiled")


def main() -> None:
    """Runs the build and prints what failed."""
    try:
        build()
    except (OSError, BuildError) as error:
        sys.exit(f"build failed: {error}")


if __name__ == "__main__":
    main()
