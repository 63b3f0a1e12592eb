"""A setting that is decoded and read by nothing looks as if it were in force."""

import ast
import dataclasses
from pathlib import Path

import pytest

from figcrank.state import _catalog
from figcrank.transport import _settings as _process_settings
from figcrank.transport.streams import _settings

REPOSITORY = Path(__file__).parents[3]
SOURCES = sorted(
    path
    for folder in ("packages", "platform")
    for path in (REPOSITORY / folder).glob("**/src/**/*.py")
    if path.name != "_documents.py"  # decodes the settings
)
CLASSES = (
    _catalog.Catalog,
    _catalog.DatabaseRoute,
    _catalog.WorkspaceLimit,
    _catalog.GroupPolicy,
    _catalog.ServerEntry,
    _settings.SessionHostSettings,
    _process_settings.HostSettings,
    _process_settings.Settings,
)


def read_attributes():
    """Return the names of all attributes that the product's sources read."""
    names = set()
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Load):
                names.add(node.attr)
    return names


@pytest.mark.parametrize("settings", CLASSES, ids=lambda cls: cls.__qualname__)
def test_each_decoded_setting_is_read_somewhere(settings):
    """``sync_replicas`` was decoded and used nowhere, and promotions lost acknowledged commits."""
    names = {item.name for item in dataclasses.fields(settings)}
    assert names - read_attributes() == set()
