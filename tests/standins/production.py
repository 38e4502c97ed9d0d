"""Gives tests access to the version in production, so that old and new controllers can run in one cluster.

`tests/data/production.zip` holds the package as of the commit that deploy/service.toml names, as the package
`badgerroute_production`. Both versions run on one event loop in virtual time, so the archive contains no
transport layer and uses the one of these sources. `python -m tests.standins.production COMMIT` writes the archive.
"""

import importlib
import io
import re
import subprocess
import sys
import tarfile
import zipfile
from pathlib import Path
from types import ModuleType

from badgerroute.transport import http, loop

ARCHIVE = Path(__file__).parent.parent / "data" / "production.zip"
PACKAGE = "badgerroute_production"
OWN_IMPORT = re.compile(r"^(\s*(?:from|import) )badgerroute(?!\.transport)\b", re.MULTILINE)

# Attributes that tests read from controllers of both versions: name in these sources -> name in production.
ATTRIBUTES = {
    "shard": "part",
    "shards": "parts",
    "leader": "owner",
    "leaders": "owners",
    "election": "claims",
    "leadership_state": "claims",
    "leaderships": "parts",
    "may_lead": "acting",
    "store": "state",
    "peers": "siblings",
    "deletion_queue": "fleet",
    "reconciled": "settled",
}
CLASSES = (
    ("coordination.controller", "Controller"),
    ("coordination.owner", "Owner"),
    ("coordination.claims", "Claims"),
)


def _attribute(instance: object, name: str) -> object:
    """Look up an attribute under its name in production; installed as `__getattr__` of the production classes."""
    if name not in ATTRIBUTES:
        raise AttributeError(f"{type(instance).__name__} has no attribute {name}")
    return getattr(instance, ATTRIBUTES[name])


def module(name: str) -> ModuleType:
    """Import a module of the version in production; `name` is relative to the package."""
    if str(ARCHIVE) not in sys.path:
        sys.path.append(str(ARCHIVE))
        # The version in production uses these old names, from before a renaming in the transport layer.
        http.Unanswered = http.NoAnswerError
        loop.TimeLimit = loop.TimeLimitError
        loop.Group, loop.Gate, loop.Routine = loop.TaskGroup, loop.Semaphore, loop.CoroutineTask
        loop.TaskGroup.duty, loop.Semaphore.place = loop.TaskGroup.run_forever, loop.Semaphore.acquire
        for path, class_name in CLASSES:
            getattr(importlib.import_module(f"{PACKAGE}.{path}"), class_name).__getattr__ = _attribute
    return importlib.import_module(f"{PACKAGE}.{name}")


def freeze(commit: str) -> None:
    """Write the package as of a commit, without its transport layer, to the archive, as `badgerroute_production`."""
    content = subprocess.run(["git", "archive", commit, "badgerroute"], check=True, capture_output=True).stdout
    with tarfile.open(fileobj=io.BytesIO(content)) as tree, zipfile.ZipFile(ARCHIVE, "w") as archive:
        for member in sorted(tree.getmembers(), key=lambda member: member.name):
            if member.isfile() and member.name.endswith(".py") and not member.name.startswith("badgerroute/transport/"):
                text = tree.extractfile(member).read().decode()
                entry = zipfile.ZipInfo(member.name.replace("badgerroute", PACKAGE, 1), (2026, 1, 1, 0, 0, 0))
                archive.writestr(entry, OWN_IMPORT.sub(rf"\1{PACKAGE}", text), zipfile.ZIP_DEFLATED)


if __name__ == "__main__":
    freeze(sys.argv[1])
