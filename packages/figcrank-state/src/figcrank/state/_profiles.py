"""Profiles: named read and write policies that requests select."""

from enum import StrEnum

import msgspec


class ProfileMode(StrEnum):
    """The kind of access that a profile permits."""

    FRESH = "fresh"
    BOUNDED = "bounded"
    WRITE = "write"


class Profile(msgspec.Struct, frozen=True, tag="profile"):
    """A named policy; every mode guarantees read-your-writes.

    :param name: unique name.
    :param mode: ``write`` permits changes; ``fresh`` and ``bounded`` permit reads only.
    :param max_staleness_ms: maximum staleness of a ``bounded`` read; 0 for the other modes.
    """

    name: str
    mode: ProfileMode
    max_staleness_ms: int = 0
