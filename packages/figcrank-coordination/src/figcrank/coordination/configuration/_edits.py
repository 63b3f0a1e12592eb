"""Operators' edits, stored by conditional updates.

If the response to an update is lost, the object is read back to find out whether it took effect.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from figcrank.coordination._outbox import OnPlatformReply
from figcrank.coordination._settings import CoreSettings
from figcrank.coordination.store import PlatformClient
from figcrank.protocol import (
    EditConflict,
    EditDone,
    EditObject,
    Failure,
    FailureKind,
    GetObject,
    ObjectList,
    OperatorFailure,
    OperatorReply,
    Outcome,
    PlatformCall,
    PlatformResult,
    PutConflict,
    PutDone,
    PutObject,
    StoredObject,
)
from figcrank.protocol.objects import decode_config_object, encode_config_value
from figcrank.state import RandomSource

EDIT_DEADLINE_MS = 5_000
MAX_PENDING_EDITS = 8
OPERATION_ID_BITS = 64
RETRY_AFTER_MS = 1_000
RETRY_INTERVAL_MS = 100

OnEdited = Callable[[OperatorReply, int], None]


@dataclass(frozen=True, slots=True)
class _Edit:
    request: EditObject
    put: PutObject
    deadline_ms: int
    on_done: OnEdited
    is_uncertain: bool = False
    next_call: PlatformCall | None = None
    next_ms: int = 0


class Editor:
    """Stores each edit at most once, by conditional update.

    :param settings: static settings of this host.
    :param platform: client of the platform.
    :param random: random source for operation ids.
    :param on_stored: called for each edit that took effect, with the edit, the stored object and
        the time.
    """

    def __init__(
        self,
        settings: CoreSettings,
        platform: PlatformClient,
        random: RandomSource,
        on_stored: Callable[[EditObject, StoredObject, int], None],
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._random = random
        self._on_stored = on_stored
        self._edits: dict[str, _Edit] = {}

    def submit(self, request: EditObject, now_ms: int, on_done: OnEdited) -> None:
        """Store a validated edit.

        :param on_done: called once with the reply and the time, within :data:`EDIT_DEADLINE_MS`.
        """
        if len(self._edits) >= MAX_PENDING_EDITS:
            on_done(_not_run("Too many edits are waiting for the platform."), now_ms)
            return
        edit = self._new_edit(request, now_ms, on_done)
        self._edits[edit.put.operation_id] = edit
        if not self._send(edit, edit.put, now_ms):
            self._finish(edit, _not_run("Too many calls are waiting for the platform."), now_ms)

    def tick(self, now_ms: int) -> None:
        """Send the calls that are due and fail the edits that are past their deadline."""
        for edit in tuple(self._edits.values()):
            if now_ms >= edit.deadline_ms:
                self._finish(edit, _deadline_failure(), now_ms)
            elif edit.next_call is not None and now_ms >= edit.next_ms:
                self._send_next_call(edit, edit.next_call, now_ms)

    def _new_edit(self, request: EditObject, now_ms: int, on_done: OnEdited) -> _Edit:
        operation_id = (
            f"{self._settings.host.name}-{self._random.getrandbits(OPERATION_ID_BITS):016x}"
        )
        text = None if request.value is None else encode_config_value(request.value)
        put = PutObject(request.kind, request.name, request.expected_version, text, operation_id)
        return _Edit(request, put, now_ms + EDIT_DEADLINE_MS, on_done)

    def _send_next_call(self, edit: _Edit, call: PlatformCall, now_ms: int) -> None:
        sent_edit = replace(edit, next_call=None)
        self._edits[edit.put.operation_id] = sent_edit
        if not self._send(sent_edit, call, now_ms):
            self._schedule(sent_edit, call, now_ms)

    def _send(self, edit: _Edit, call: PlatformCall, now_ms: int) -> bool:
        timeout_ms = self._settings.timings.platform_timeout_ms
        on_reply = self._reply_handler(edit.put.operation_id)
        return self._platform.write(call, timeout_ms, now_ms, on_reply)

    def _reply_handler(self, operation_id: str) -> OnPlatformReply:
        def on_reply(result: PlatformResult, now_ms: int) -> None:
            edit = self._edits.get(operation_id)
            if edit is not None:
                self._on_result(edit, result, now_ms)

        return on_reply

    def _on_result(self, edit: _Edit, result: PlatformResult, now_ms: int) -> None:
        if isinstance(result, PutDone):
            self._finish_stored(edit, result.stored, now_ms)
        elif isinstance(result, PutConflict):
            self._resolve_with_current(edit, result.current, now_ms)
        elif isinstance(result, ObjectList):
            self._on_read_back(edit, result, now_ms)
        else:
            uncertain = replace(edit, is_uncertain=True)
            read_back = GetObject(edit.put.kind, edit.put.name)
            self._schedule(uncertain, read_back, now_ms)

    def _on_read_back(self, edit: _Edit, result: ObjectList, now_ms: int) -> None:
        current = result.objects[0] if result.objects else None
        if (current.version if current else 0) == edit.put.expected_version:
            self._schedule(edit, self._retry_call(edit), now_ms)
            return
        self._resolve_with_current(edit, current, now_ms)

    def _retry_call(self, edit: _Edit) -> PlatformCall:
        # The first write may still be in flight. Versions only increase, so at most one of two
        # equal updates can match the expected version. A creation is only read back, not repeated:
        # if the object was created and deleted meanwhile, a second creation would succeed too.
        if edit.put.expected_version > 0:
            return edit.put
        return GetObject(edit.put.kind, edit.put.name)

    def _resolve_with_current(self, edit: _Edit, current: StoredObject | None, now_ms: int) -> None:
        if current is not None and current.operation_id == edit.put.operation_id:
            self._finish_stored(edit, current, now_ms)
            return
        if edit.is_uncertain:
            message = "Another edit is stored; this one may have been stored and then overwritten."
            self._finish(edit, OperatorFailure(Failure.unknown(message)), now_ms)
            return
        current_object = None if current is None else decode_config_object(current)
        self._finish(edit, EditConflict(current_object), now_ms)

    def _finish_stored(self, edit: _Edit, stored: StoredObject, now_ms: int) -> None:
        self._on_stored(edit.request, stored, now_ms)
        self._finish(edit, EditDone(decode_config_object(stored)), now_ms)

    def _schedule(self, edit: _Edit, call: PlatformCall, now_ms: int) -> None:
        rescheduled = replace(edit, next_call=call, next_ms=now_ms + RETRY_INTERVAL_MS)
        self._edits[edit.put.operation_id] = rescheduled

    def _finish(self, edit: _Edit, reply: OperatorReply, now_ms: int) -> None:
        self._edits.pop(edit.put.operation_id, None)
        edit.on_done(reply, now_ms)


def _not_run(message: str) -> OperatorFailure:
    kind = FailureKind.PLATFORM_UNAVAILABLE
    return OperatorFailure(Failure.not_run(kind, message, RETRY_AFTER_MS))


def _deadline_failure() -> OperatorFailure:
    message = "The platform did not tell in time whether the edit is stored."
    failure = Failure(FailureKind.PLATFORM_UNAVAILABLE, Outcome.UNKNOWN, message, RETRY_AFTER_MS)
    return OperatorFailure(failure)
