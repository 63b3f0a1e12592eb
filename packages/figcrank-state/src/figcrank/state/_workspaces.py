"""Workspaces, services, routes for callers without a key, and keys."""

import hashlib
import hmac
from dataclasses import dataclass

import msgspec

KEY_PREFIX = "fck"


class Workspace(msgspec.Struct, frozen=True, tag="workspace"):
    """A tenant of the fleet, with its rate limit.

    :param name: unique name.
    :param rate_per_s: requests admitted per second, summed over all hosts.
    :param burst: requests admitted at once after an idle period.
    """

    name: str
    rate_per_s: int
    burst: int


class Service(msgspec.Struct, frozen=True, tag="service"):
    """A service name that callers use, and the database group that serves it.

    :param name: unique name.
    :param group: name of the database group.
    """

    name: str
    group: str


class Route(msgspec.Struct, frozen=True, tag="route"):
    """A statement that callers without a key may run.

    :param name: unique name, part of the URL.
    :param service: service that runs the statement.
    :param profile: read profile of the statement.
    :param workspace: workspace that the requests are charged to.
    :param sql: the only statement that the route permits.
    """

    name: str
    service: str
    profile: str
    workspace: str
    sql: str


class Key(msgspec.Struct, frozen=True, tag="key"):
    """The stored form of a caller's key, without its secret.

    :param key_id: public part of the key.
    :param workspace: workspace that the key gives access to.
    :param salt: random hexadecimal salt.
    :param digest: SHA-256 of salt and secret, in hexadecimal.
    :param withdrawn: whether the key is permanently withdrawn.
    """

    key_id: str
    workspace: str
    salt: str
    digest: str
    withdrawn: bool = False

    @classmethod
    def from_secret(cls, key_id: str, workspace: str, salt: str, secret: str) -> "Key":
        """Return the stored form of a new key."""
        return cls(key_id, workspace, salt, key_digest(salt, secret))

    def matches(self, secret: str) -> bool:
        """Return whether ``secret`` is the key's secret, compared in constant time."""
        return hmac.compare_digest(self.digest, key_digest(self.salt, secret))


@dataclass(frozen=True, slots=True)
class PresentedKey:
    """A key as presented by a caller.

    :param key_id: public part.
    :param secret: secret part, omitted from ``repr``.
    """

    key_id: str
    secret: str

    @classmethod
    def from_text(cls, text: str) -> "PresentedKey | None":
        """Parse ``fck_<id>_<secret>`` and return the key, ``None`` for any other form."""
        parts = text.split("_")
        if len(parts) != 3 or parts[0] != KEY_PREFIX or not parts[1] or not parts[2]:
            return None
        return cls(parts[1], parts[2])

    def to_text(self) -> str:
        """Return the text form, which is shown only once, when the key is created."""
        return f"{KEY_PREFIX}_{self.key_id}_{self.secret}"

    def __repr__(self) -> str:
        return f"PresentedKey(key_id={self.key_id!r})"


def key_digest(salt: str, secret: str) -> str:
    """Return the hexadecimal SHA-256 of salt and secret."""
    return hashlib.sha256(f"{salt}:{secret}".encode()).hexdigest()
