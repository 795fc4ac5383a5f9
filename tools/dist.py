"""Build the one file `dist/sequoiaspoke`.

A zip application with the program and its pure-Python dependencies, each
module as source and as bytecode, so that it starts fast on the Python it was
built with and still runs on another. Two builds of one tree are the same to
the byte: names are sorted, times fixed, and bytecode is written without the
reference flags that depend on what else the building process holds.
"""

from __future__ import annotations

import importlib.util
import marshal
import re
import sys
import tomllib
import zipfile
from importlib import metadata
from pathlib import Path, PurePosixPath

from packaging.requirements import Requirement

ROOT = Path(__file__).parents[1]
OUT = ROOT / "dist" / "sequoiaspoke"
PURE = ROOT / "tools" / "pure"
PROGRAM = (
    (ROOT, "sequoiaspoke/**/*.py"),
    (ROOT, "sequoiaspoke/**/*.ini"),
    (PURE, "*.py"),
)
SHEBANG = b"#!/usr/bin/env python3\n"
FIXED_TIME = (1980, 1, 1, 0, 0, 0)
FILE_MODE = 0o644 << 16
EXECUTABLE = 0o755
MARSHAL_VERSION = 2  # the last without reference flags
UNCHECKED_HASH = (1).to_bytes(4, "little")
MAIN = "import sys\n\nfrom sequoiaspoke.__main__ import main\n\nsys.exit(main())\n"
# Native, or asked for by a dependency's packaging alone.
LEFT_OUT = {"psutil", "pbr", "setuptools"}
# What no command reaches: the libraries' own tests, output formats of the
# docstring parser, its other languages, and conventions for other systems.
PRUNED = re.compile(
    r"tornado/test/|sequoiaspoke/tests/|opentelemetry/semconv/_incubating/\w+/(?!otel_|__init__)"
    r"|docutils/writers/\w+/|docutils/writers/(manpage|docutils_xml|latex2e)\.py"
    r"|docutils/utils/math/|docutils/(parsers/rst/)?languages/(?!en\.|__init__)"
    r"|hdrh/dump\.py"
)
LICENCE = re.compile(r"(LICEN[CS]E|NOTICE|COPYING|AUTHORS)[^/]*$", re.IGNORECASE)


def main() -> None:
    """Write the file named on the command line, or the usual one."""
    out = Path(sys.argv[1]) if len(sys.argv) > 1 else OUT
    out.parent.mkdir(parents=True, exist_ok=True)
    names = dependencies()
    contents = dict(program_files())
    for name in sorted(names):
        contents.update(library_files(name))
    write(out, contents)
    print(f"file={out} bytes={out.stat().st_size} modules={len(contents)}")


def dependencies() -> set[str]:
    """Return every library that the program needs, by the libraries' metadata."""
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    waiting = list(project["dependencies"])
    found: set[str] = set()
    while waiting:
        requirement = Requirement(waiting.pop())
        name = requirement.name.lower()
        if name in found | LEFT_OUT:
            continue
        if requirement.marker and not requirement.marker.evaluate({"extra": ""}):
            continue
        found.add(name)
        waiting += metadata.requires(name) or []
    return found


def program_files() -> dict[str, bytes]:
    """Return the program's files and the pure stand-ins of native modules."""
    contents = {"__main__.py": MAIN.encode()}
    for base, pattern in PROGRAM:
        for path in base.glob(pattern):
            name = path.relative_to(base).as_posix()
            if not PRUNED.search(name):
                contents[name] = path.read_bytes()
    return contents


def library_files(library: str) -> dict[str, bytes]:
    """Return a library's modules, licences and the metadata it reads itself."""
    distribution = metadata.distribution(library)
    contents = {}
    for path in distribution.files or ():
        name = PurePosixPath(path).as_posix()
        if name.startswith("..") or PRUNED.search(name):
            continue
        content = Path(str(distribution.locate_file(path)))
        if name.endswith(".dist-info/METADATA"):
            contents[name] = short_metadata(distribution)
        elif name.endswith((".py", "entry_points.txt")) or LICENCE.search(name):
            contents[name] = content.read_bytes()
    return contents


def short_metadata(distribution: metadata.Distribution) -> bytes:
    """Return the part of the metadata that says which version is installed."""
    name, version = distribution.metadata["Name"], distribution.version
    return f"Metadata-Version: 2.1\nName: {name}\nVersion: {version}\n".encode()


def write(out: Path, contents: dict[str, bytes]) -> None:
    """Write the file, bytecode beside each module."""
    with out.open("wb") as stream:
        stream.write(SHEBANG)
        with zipfile.ZipFile(stream, "w", zipfile.ZIP_DEFLATED) as archive:
            for name in sorted(namespaces(contents) | contents.keys()):
                if name.endswith(".py"):
                    add(archive, name + "c", bytecode(name, contents[name]))
                add(archive, name, contents.get(name, b""))
    out.chmod(EXECUTABLE)


def namespaces(contents: dict[str, bytes]) -> set[str]:
    """Return the directories that are packages without a module of their own.

    Imports from a zip file find such a package by its directory entry alone.
    """
    parents = {
        parent.as_posix()
        for name in contents
        if name.endswith(".py")
        for parent in PurePosixPath(name).parents
    }
    plain = {each for each in parents if f"{each}/__init__.py" not in contents}
    return {f"{each}/" for each in plain - {"."}}


def add(archive: zipfile.ZipFile, name: str, content: bytes) -> None:
    """Add one entry whose bytes depend on nothing but name and content."""
    entry = zipfile.ZipInfo(name, FIXED_TIME)
    entry.compress_type = zipfile.ZIP_DEFLATED
    entry.external_attr = FILE_MODE
    entry.create_system = 3
    archive.writestr(entry, content, compresslevel=9)


def bytecode(name: str, source: bytes) -> bytes:
    """Compile a module to bytecode that is taken without a look at its source."""
    code = compile(source, name, "exec", dont_inherit=True, optimize=0)
    header = importlib.util.MAGIC_NUMBER + UNCHECKED_HASH
    return (
        header
        + importlib.util.source_hash(source)
        + marshal.dumps(code, MARSHAL_VERSION)
    )


if __name__ == "__main__":
    main()
