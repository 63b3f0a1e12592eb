"""Addresses of the form ``ip:port``."""

import ipaddress

MAX_PORT = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Split ``ip:port`` into IP address and port.

    :raises ValueError: if the text is not of this form.
    """
    ip, _, port_text = address.rpartition(":")
    ipaddress.ip_address(ip.strip("[]"))
    port = int(port_text)
    if not 0 <= port <= MAX_PORT:
        raise ValueError(address)
    return ip.strip("[]"), port


def join_address(ip: str, port: int) -> str:
    """Return ``ip:port``."""
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"
