"""Conversion of configuration objects from and to the form kept in the platform's store."""

import msgspec

from figcrank.protocol._failures import MessageError
from figcrank.protocol._platform import StoredObject
from figcrank.state import ConfigObject, ConfigValue, ObjectId

CONFIG_KINDS = ("key", "profile", "route", "service", "workspace")

_value_decoder = msgspec.json.Decoder(ConfigValue)


def decode_config_object(stored: StoredObject) -> ConfigObject:
    """Return the configuration object decoded from ``stored``.

    :raises MessageError: if the stored value is not a configuration object.
    """
    object_id = ObjectId(stored.kind, stored.name)
    if stored.value is None:
        return ConfigObject(object_id, stored.version, None)
    return ConfigObject(object_id, stored.version, decode_config_value(stored.value))


def decode_config_value(text: str) -> ConfigValue:
    """Return the configuration value decoded from a JSON text.

    :raises MessageError: if the text is not a configuration value.
    """
    try:
        return _value_decoder.decode(text)
    except msgspec.DecodeError as error:
        raise MessageError("not a configuration object") from error


def encode_config_value(value: ConfigValue) -> str:
    """Return ``value`` as the JSON text kept in the store."""
    return msgspec.json.encode(value).decode()
