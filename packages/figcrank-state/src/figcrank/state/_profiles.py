"""Profiles: named read and write policies that services pick."""

from enum import StrEnum

import msgspec


class ProfileMode(StrEnum):
    """What a profile permits."""

    FRESH = "fresh"
    BOUNDED = "bounded"
    WRITE = "write"


class Profile(msgspec.Struct, frozen=True, tag="profile"):
    """A named policy; every mode gives read-your-writes.

    :param name: unique name.
    :param mode: ``write`` permits changes; ``fresh`` and ``bounded`` are for reads only.
    :param max_staleness_ms: greatest age of a ``bounded`` read, in milliseconds.
    """

    name: str
    mode: ProfileMode
    max_staleness_ms: int = 0
