"""The owners to which a relay was redirected, so that its next sessions open there at once."""

from collections import OrderedDict

from figcrank.protocol.owners import Owner

# A deployment has about a dozen databases; callers may name any number of them.
MAX_DATABASES = 256


class OwnerMemory:
    """The owner that last accepted a session as the group owner, by database.

    Answers relays that would otherwise be redirected at each start of about 2,000 sessions.

    :param max_databases: databases to remember; the least recently used one is forgotten first.
    """

    def __init__(self, max_databases: int = MAX_DATABASES) -> None:
        self._max_databases = max_databases
        self._owners: OrderedDict[str, Owner] = OrderedDict()

    def get(self, database: str) -> Owner | None:
        """Return the owner of a database, ``None`` if it is unknown."""
        if database in self._owners:
            self._owners.move_to_end(database)
        return self._owners.get(database)

    def remember(self, database: str, owner: Owner) -> None:
        """Record the owner of a database."""
        self._owners[database] = owner
        self._owners.move_to_end(database)
        if len(self._owners) > self._max_databases:
            self._owners.popitem(last=False)

    def forget_address(self, address: tuple[str, int]) -> None:
        """Forget an owner that did not open a session, for every database."""
        kept = ((name, o) for name, o in self._owners.items() if o.address != address)
        self._owners = OrderedDict(kept)
