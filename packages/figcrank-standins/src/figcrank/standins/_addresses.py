"""Addresses on the command line."""

import argparse


def is_address(text: str) -> bool:
    """Return whether ``text`` has the form ``ip:port``."""
    host, separator, port = text.rpartition(":")
    return bool(host and separator and port.isdecimal())


def address_argument(text: str) -> str:
    """Return ``text`` if it is an address.

    :raises argparse.ArgumentTypeError: if it is not.
    """
    if not is_address(text):
        raise argparse.ArgumentTypeError(f"{text!r} is not of the form IP:PORT.")
    return text
