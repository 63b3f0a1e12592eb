"""Output of figcrankctl: tables or JSON on standard output, messages on standard error."""

import sys
from typing import Any

import msgspec
from rich.console import Console, RenderableType

COLUMNS = 80


class Output:
    """Writes the results and messages of a command.

    :param as_json: whether to write JSON instead of tables.
    """

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json
        self._console = Console(width=COLUMNS, highlight=False, markup=False, emoji=False)

    def show(self, document: Any, *renderables: RenderableType) -> None:
        """Write a result.

        :param document: value that is printed with ``--json``.
        :param renderables: tables and lines that are printed otherwise.
        """
        if self.as_json:
            print(msgspec.json.format(msgspec.json.encode(document)).decode())
            return
        for renderable in renderables:
            # Plain lines are not wrapped, so that they can be copied and searched.
            self._console.print(renderable, soft_wrap=isinstance(renderable, str))

    def note(self, text: str) -> None:
        """Write a one-line message to standard error."""
        print(f"figcrankctl: {text}", file=sys.stderr)
