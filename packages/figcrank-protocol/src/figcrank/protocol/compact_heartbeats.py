"""Heartbeats in fewer bytes, for peers that read the extension and are in another region.

A compact datagram is a byte that no JSON document begins with, and the elements of a heartbeat as
compressed JSON. Numbers take the place of workspace names, by their order in a configuration that
both hosts have. A datagram decodes by itself: nothing depends on one that was sent before it.
"""

import json
import zlib
from collections.abc import Callable, Iterable

from figcrank.protocol.decoding import DECODE_ERRORS
from figcrank.protocol.heartbeats import (
    Heartbeat,
    HeartbeatError,
    decode_elements,
    decode_heartbeat,
    heartbeat_elements,
)

COMPACT_MARK = b"\x01"
RAW_DEFLATE = -zlib.MAX_WBITS  # no header and checksum, which UDP has
MAX_ELEMENTS_BYTES = 1_000_000  # a complete heartbeat of 10,000 workspaces
COMPRESSION_LEVEL = 6
SPENT_INDEX = 5  # element that holds the operation counts


class NameOrder:
    """Workspace names in an order that other hosts with the same configuration derive too.

    :param names: names of all workspaces of a configuration.
    """

    def __init__(self, names: Iterable[str]) -> None:
        self._names = tuple(sorted(names))
        self._indexes = {name: index for index, name in enumerate(self._names)}
        # Identifies the order. A configuration version does not: after the store came back from an
        # older copy, two hosts may have different ones of the same version.
        self.checksum = zlib.crc32(json.dumps(self._names).encode())

    def encode_counts(self, spent: dict[str, tuple[int, int]]) -> list[int] | None:
        """Return counts as a list of integers, ``None`` if a name is not in the order.

        Each workspace has three: the number of names skipped since the previous one, the admitted
        operations, and the requested ones beyond these, which is mostly 0.
        """
        if not spent.keys() <= self._indexes.keys():
            return None
        numbers = []
        next_index = 0
        for index, name in sorted((self._indexes[name], name) for name in spent):
            admitted, asked = spent[name]
            numbers += [index - next_index, admitted, asked - admitted]
            next_index = index + 1
        return numbers

    def decode_counts(self, numbers: list[int]) -> dict[str, tuple[int, int]]:
        """Return the counts by workspace name.

        :raises ValueError: if the list was not made by :meth:`encode_counts` of an equal order.
        """
        spent = {}
        next_index = 0
        for skipped, admitted, rejected in zip(*[iter(numbers)] * 3, strict=True):
            index = next_index + int(skipped)
            if not next_index <= index < len(self._names):
                raise ValueError(f"no workspace has the number {index}")
            spent[self._names[index]] = (int(admitted), int(admitted) + int(rejected))
            next_index = index + 1
        return spent


def encode_compact(heartbeat: Heartbeat, order: NameOrder | None) -> bytes:
    """Return ``heartbeat`` as a compact datagram.

    :param order: an order that the receiver has; ``None`` to send names.
    """
    elements = heartbeat_elements(heartbeat)
    numbers = order.encode_counts(heartbeat.spent) if order else None
    if numbers is not None:
        elements[SPENT_INDEX] = [int(heartbeat.partial), [order.checksum, *numbers]]
    text = json.dumps(elements, separators=(",", ":")).encode()
    compressor = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, RAW_DEFLATE)
    return COMPACT_MARK + compressor.compress(text) + compressor.flush()


def decode_datagram(data: bytes, find_order: Callable[[int], NameOrder | None]) -> Heartbeat:
    """Return the heartbeat in a datagram of either form.

    :param find_order: returns the order with a checksum, ``None`` if this host does not have it.
    :raises HeartbeatError: if the datagram can't be decoded as a heartbeat.
    """
    if not data.startswith(COMPACT_MARK):
        return decode_heartbeat(data)
    try:
        decompressor = zlib.decompressobj(RAW_DEFLATE)
        text = decompressor.decompress(data[len(COMPACT_MARK) :], MAX_ELEMENTS_BYTES)
        if not decompressor.eof:
            raise ValueError("incomplete or too long")
        elements = json.loads(text)
        partial, spent = elements[SPENT_INDEX]
        if isinstance(spent, list):
            checksum, *numbers = spent
            order = find_order(checksum)
            if order is None:
                raise ValueError("its workspaces are numbered by an unknown configuration")
            elements[SPENT_INDEX] = [partial, order.decode_counts(numbers)]
        return decode_elements(elements)
    except (zlib.error, *DECODE_ERRORS) as error:
        raise HeartbeatError(
            f"datagram of {len(data)} bytes is not a compact heartbeat: {error}"
        ) from error
