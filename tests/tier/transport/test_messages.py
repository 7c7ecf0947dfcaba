"""The internal protocol against bytes that the version before the clean-up of names wrote."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from wheatring.tier.transport import messages_pb2

# By message and, where it has alternatives, the number of the one that is set. Names are those of c345874.
GOLDEN: dict[str, str] = json.loads((Path(__file__).parent / "data" / "messages.json").read_text())
RENAMED: dict[str, str] = {
    "TakenConfiguration": "AcceptedConfiguration"
}  # old name of a message: new name; names are not on the wire


def scalar_value(field: Any) -> Any:
    """Return a value that follows from the number and the kind of a field alone."""
    number = field.number
    if field.type == FieldDescriptor.TYPE_STRING:
        return f"text {number}"
    if field.type == FieldDescriptor.TYPE_BYTES:
        return b"bytes %d\x00\xff" % number
    if field.type == FieldDescriptor.TYPE_BOOL:
        return True
    if field.type == FieldDescriptor.TYPE_ENUM:
        return field.enum_type.values[-1].number
    return 2**28 + number if field.type == FieldDescriptor.TYPE_UINT32 else 2**40 + number


def alternatives(message: Message) -> list[int]:
    """Return the numbers of the fields of which only one can be set."""
    return [field.number for field in message.DESCRIPTOR.fields if field.containing_oneof is not None]


def fill(message: Message, alternative: int | None) -> Message:
    """Set every field of a message and of those within it; of alternatives the one given."""
    for field in message.DESCRIPTOR.fields:
        if field.containing_oneof is not None and field.number != alternative:
            continue
        target = getattr(message, field.name)
        if field.type == FieldDescriptor.TYPE_MESSAGE:
            for inner in [target.add(), target.add()] if field.is_repeated else [target]:
                fill(inner, next(iter(alternatives(inner)), None))
                inner.SetInParent()
        elif field.is_repeated:
            target.extend([scalar_value(field)] * 2)
        else:
            setattr(message, field.name, scalar_value(field))
    return message


@pytest.mark.parametrize("key", GOLDEN)
def test_a_message_is_encoded_as_by_the_previous_version(key: str) -> None:
    name, _, number = key.partition("/")
    kind = getattr(messages_pb2, RENAMED.get(name, name))
    encoded = bytes.fromhex(GOLDEN[key])
    assert fill(kind(), int(number) if number else None).SerializeToString(deterministic=True) == encoded
    assert kind.FromString(encoded).SerializeToString(deterministic=True) == encoded


def test_no_message_of_the_previous_version_is_missing() -> None:
    names = {RENAMED.get(name, name) for name in (key.partition("/")[0] for key in GOLDEN)}
    assert names <= set(messages_pb2.DESCRIPTOR.message_types_by_name)
