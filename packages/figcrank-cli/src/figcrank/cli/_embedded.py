"""A platform and a database group in the process of an embedded host."""

import json
import secrets
from dataclasses import dataclass

import msgspec

from figcrank.standins.group_server import start_group
from figcrank.standins.platform_server import start_platform
from figcrank.standins.samples import SAMPLE_SERVICE, SAMPLE_WORKSPACE, sample_objects
from figcrank.transport import Settings

HOST_NAME = "host-1"
FLEET_NAME = "embedded"
SOURCE = "command line"
SECRET_BYTES = 24
ANY_PORT = "127.0.0.1:0"
PROFILES = ("fresh", "relaxed", "write")


@dataclass(frozen=True, slots=True)
class EmbeddedFleet:
    """What an embedded host needs and what a newcomer is told.

    :param settings: settings of the only host.
    :param workspace: sample workspace.
    :param key: its key.
    :param service: sample service.
    :param profiles: sample profiles.
    """

    settings: Settings
    workspace: str
    key: str
    service: str
    profiles: tuple[str, ...]

    @classmethod
    def start(cls, listen: str, trace_file: str) -> "EmbeddedFleet":
        """Start the platform and the group, both on loopback.

        :param listen: ``ip:port`` of the caller API.
        :param trace_file: file for spans, empty for none.
        :raises SettingsError: if ``listen`` is not an address.
        """
        sample = sample_objects()
        group = start_group().group
        platform = start_platform(sample.objects)
        config = {
            "fleet": FLEET_NAME,
            "host": {
                "name": HOST_NAME,
                "availability_zone": group.servers[0].availability_zone,
                "caller_address": listen,
                "operator_address": ANY_PORT,
                "peer_address": ANY_PORT,
                "gossip_address": ANY_PORT,
            },
            "platform_address": platform.address,
            "secrets": [secrets.token_hex(SECRET_BYTES)],
            "operator_keys": [secrets.token_hex(SECRET_BYTES)],
            "groups": [json.loads(msgspec.json.encode(group))],
            "owners_per_group": 1,
            "trace_file": trace_file,
        }
        settings = Settings.from_config(config, SOURCE)
        return cls(settings, SAMPLE_WORKSPACE, sample.key, SAMPLE_SERVICE, PROFILES)
