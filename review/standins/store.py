"""The platform's store: objects with revisions, conditional writes and watches."""

import asyncio
import contextlib
import copy
import time

from standins.http import serve_http

ANSWER_MS = 4
PAGE_ITEMS = 500
MAX_WAIT_MS = 30_000


class Store:
    """The store; everything that it has acknowledged is kept.

    :param address: ``(ip, port)`` to listen on.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self.revision = 1
        self._objects: dict[tuple[str, str], dict] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen for calls."""
        await serve_http(self.address, self._handle)

    async def _handle(
        self, method: str, parts: list[str], query: dict, _headers: dict, body: object
    ) -> tuple[int, object]:
        await asyncio.sleep(ANSWER_MS / 1_000)
        if not parts or parts[0] != "objects" or len(parts) < 2:
            return 404, None
        kind, *names = parts[1:]
        if names:
            return self._call_object(method, kind, names[0], query, body)
        if method == "POST":
            name = body["meta"]["name"]
            if (kind, name) in self._objects:
                return 409, self._objects[kind, name]
            return 200, self.put(kind, name, body["spec"])
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query.get("waitMs", 0)))
        return 200, self._list(kind, query.get("after", ""))

    def _call_object(
        self, method: str, kind: str, name: str, query: dict, body: object
    ) -> tuple[int, object]:
        item = self._objects.get((kind, name))
        if item is None:
            return 404, None
        if method == "GET":
            return 200, item
        meta = (body or {}).get("meta") or {}
        expected = meta.get("revision", query.get("revision"))
        if expected is not None and int(expected) != item["meta"]["revision"]:
            return 409, item
        if method == "DELETE":
            self.delete(kind, name)
            return 200, item
        return 200, self.put(kind, name, body["spec"])

    def _list(self, kind: str, after: str) -> dict:
        names = sorted(name for found, name in self._objects if found == kind and name > after)
        page = [self._objects[kind, name] for name in names[:PAGE_ITEMS]]
        return {"items": page, "hasMore": len(names) > PAGE_ITEMS, "at": self.revision}

    async def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, object]:
        deadline = time.monotonic() + min(wait_ms, MAX_WAIT_MS) / 1_000
        while True:
            events = [event for at, found, event in self._events if found == kind and at > since]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Write an object; an unchanged one keeps its revision."""
        known = self._objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "createdAt": 1}
        item = {"meta": {**meta, "finalizers": [], "deleting": False}, "spec": copy.deepcopy(spec)}
        item["status"] = None
        self._objects[kind, name] = item
        self._record(kind, {"object": item, "deleted": False})
        return item

    def delete(self, kind: str, name: str) -> None:
        """Remove an object if it exists."""
        item = self._objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            self._record(kind, {"object": item, "deleted": True})

    def _record(self, kind: str, event: dict) -> None:
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()
