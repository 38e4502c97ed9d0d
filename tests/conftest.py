"""What holds for every test."""

import logging
from collections.abc import Iterator

import pytest


@pytest.fixture(autouse=True)
def no_errors_logged(caplog: pytest.LogCaptureFixture, request: pytest.FixtureRequest) -> Iterator[None]:
    """A duty that fails begins again, and a handler that fails answers 503: neither may go unnoticed here."""
    caplog.set_level(logging.ERROR)
    yield
    if request.node.get_closest_marker("cheats") is None:
        errors = [record.getMessage() for when in ("setup", "call") for record in caplog.get_records(when)]
        assert not [text for text in errors if "once more" not in text]
