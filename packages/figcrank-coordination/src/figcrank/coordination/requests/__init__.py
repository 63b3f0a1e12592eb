"""Handling of callers' requests at the entry host, the host that received them."""

from figcrank.coordination.requests._handler import RequestHandler as RequestHandler
