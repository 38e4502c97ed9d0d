"""The version in production, frozen: the package as of the commit that deploy/service.toml names, under another name.

`tests/data/production.zip` holds it. It shares the transport layer with the sources as they stand (so that both kinds
of controller run on one virtual loop) and nothing else. Made, once, by `python -m tests.standins.production COMMIT`.
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
NAME = "badgerroute_production"
OURS = re.compile(r"^(\s*(?:from|import) )badgerroute(?!\.transport)\b", re.MULTILINE)

# Attributes that tests read of controllers of both versions: name here -> name in the version in production.
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
    """Called for attributes that an instance lacks."""
    if name not in ATTRIBUTES:
        raise AttributeError(f"{type(instance).__name__} has no attribute {name}")
    return getattr(instance, ATTRIBUTES[name])


def module(name: str) -> ModuleType:
    """A module of the version in production."""
    if str(ARCHIVE) not in sys.path:
        sys.path.append(str(ARCHIVE))
        # What it calls these parts of the transport layer, which have other names by now.
        http.Unanswered = http.NoAnswerError
        loop.TimeLimit = loop.TimeLimitError
        loop.Group, loop.Gate, loop.Routine = loop.TaskGroup, loop.Semaphore, loop.CoroutineTask
        loop.TaskGroup.duty, loop.Semaphore.place = loop.TaskGroup.run_forever, loop.Semaphore.acquire
        for path, kind in CLASSES:
            getattr(importlib.import_module(f"{NAME}.{path}"), kind).__getattr__ = _attribute
    return importlib.import_module(f"{NAME}.{name}")


def freeze(commit: str) -> None:
    found = subprocess.run(["git", "archive", commit, "badgerroute"], check=True, capture_output=True).stdout
    with tarfile.open(fileobj=io.BytesIO(found)) as tree, zipfile.ZipFile(ARCHIVE, "w") as archive:
        for one in sorted(tree.getmembers(), key=lambda one: one.name):
            if one.isfile() and one.name.endswith(".py") and not one.name.startswith("badgerroute/transport/"):
                text = tree.extractfile(one).read().decode()
                entry = zipfile.ZipInfo(one.name.replace("badgerroute", NAME, 1), (2026, 1, 1, 0, 0, 0))
                archive.writestr(entry, OURS.sub(rf"\1{NAME}", text), zipfile.ZIP_DEFLATED)


if __name__ == "__main__":
    freeze(sys.argv[1])
