"""Requests at the host that their callers reached."""

from figcrank.coordination.requests._entry import Entry as Entry
