"""Where figcrankctl writes: tables or JSON on standard output, notes on standard error."""

import sys
from typing import Any

import msgspec
from rich.console import Console, RenderableType

COLUMNS = 80


class Output:
    """Writes a command's result.

    :param as_json: whether to write JSON instead of tables.
    """

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json
        self._console = Console(width=COLUMNS, highlight=False, markup=False, emoji=False)

    def show(self, document: Any, *renderables: RenderableType) -> None:
        """Write a result.

        :param document: what ``--json`` prints.
        :param renderables: what is printed otherwise.
        """
        if self.as_json:
            print(msgspec.json.format(msgspec.json.encode(document)).decode())
            return
        for renderable in renderables:
            # A line of text keeps its length, so that it can be copied and searched.
            self._console.print(renderable, soft_wrap=isinstance(renderable, str))

    def note(self, text: str) -> None:
        """Write one line to standard error."""
        print(f"figcrankctl: {text}", file=sys.stderr)
