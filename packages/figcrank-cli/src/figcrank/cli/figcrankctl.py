"""figcrankctl, the command-line tool for operators."""

import argparse
import os
import sys
import warnings
from collections.abc import Sequence

with warnings.catch_warnings():
    warnings.filterwarnings("ignore", message=r"(?s)\s*Eventlet is deprecated")
    import eventlet.hubs  # noqa: F401

import argcomplete

from figcrank.cli._ctl_client import OperatorClient
from figcrank.cli._ctl_errors import CtlError, ExitCode
from figcrank.cli._ctl_output import Output
from figcrank.cli._ctl_parser import build_parser, with_defaults
from figcrank.protocol import SettingsError

EXIT_INTERRUPTED = 130


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command and return the exit status."""
    parser = build_parser()
    argcomplete.autocomplete(parser)
    options = with_defaults(parser.parse_args(argv))
    output = Output(options.json)
    try:
        _run(options, output)
        sys.stdout.flush()
    except CtlError as error:
        output.note(str(error))
        return error.exit_code
    except SettingsError as error:
        print(error, file=sys.stderr)
        return ExitCode.USAGE
    except BrokenPipeError:
        # The reader has closed the pipe; the flush at interpreter exit would fail as well.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return ExitCode.OK
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return ExitCode.OK


def _run(options: argparse.Namespace, output: Output) -> None:
    if not options.remote:
        options.run(options, output)
        return
    client = OperatorClient.from_config(options.operator_url, options.operator_key)
    options.run(options, client, output)


if __name__ == "__main__":
    sys.exit(main())
