"""Rendezvous order of owners for a server, the same at every owner that knows the same owners."""

import hashlib
from collections.abc import Iterable


def rendezvous_order(server_id: str, owners: Iterable[str]) -> list[str]:
    """Return the names of owners in the order in which they come first for a server."""
    return sorted(owners, key=lambda owner: (_hash(f"{server_id}|{owner}"), owner))


def _hash(text: str) -> bytes:
    return hashlib.blake2b(text.encode(), digest_size=8).digest()
