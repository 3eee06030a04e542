"""Stored form of a configuration."""

import msgspec

from persimmonspur.model.configuration import Configuration


class RootDocument(msgspec.Struct):
    """The root object: one version of the whole configuration.

    :param version: grows by one with every change.
    :param attempt: id of the write attempt, to recognise a write whose reply was lost.
    """

    version: int
    attempt: str
    configuration: Configuration


def encode_root(root: RootDocument) -> bytes:
    """Encode a root document in its stored form."""
    return msgspec.json.encode(root)


def decode_root(data: bytes) -> RootDocument:
    """Decode a stored root document.

    :raises msgspec.ValidationError: if the data is not a root document.
    """
    return msgspec.json.decode(data, type=RootDocument)
