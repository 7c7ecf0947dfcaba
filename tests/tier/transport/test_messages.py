"""Compatibility of the internal protocol with messages encoded by revision c345874."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from wheatring.tier.transport import messages_pb2

# Encoded messages by name and, for a message with a oneof, the number of the field that is set.
# The message names are those of c345874.
GOLDEN: dict[str, str] = json.loads((Path(__file__).parent / "data" / "messages.json").read_text())
RENAMED: dict[str, str] = {
    "TakenConfiguration": "AcceptedConfiguration"
}  # new message names by old name; message names are not on the wire

# Fields added since, by message: number of the field, and the encoding of a message with this field alone.
ADDED: dict[str, dict[int, bytes]] = {
    "StorageRequest": {10: b"R\x07text 10" * 2},
    "StorageReply": {6: b"\x32\x0c" + b"\x86\x80\x80\x80\x80\x20" * 2},
    "ScanReply": {7: b"\x38\x87\x80\x80\x80\x80\x20"},
}


def scalar_value(field: Any) -> Any:
    """Return a value derived only from the number and the type of a field."""
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
    """Return the numbers of the fields in a oneof."""
    return [field.number for field in message.DESCRIPTOR.fields if field.containing_oneof is not None]


def fill(message: Message, alternative: int | None) -> Message:
    """Set every field of the earlier revision, also of submessages; of a oneof only the given field."""
    added = ADDED.get(message.DESCRIPTOR.name, {})
    for field in message.DESCRIPTOR.fields:
        if field.number in added:
            continue
        if field.containing_oneof is not None and field.number != alternative:
            continue
        target = getattr(message, field.name)
        if field.type == FieldDescriptor.TYPE_MESSAGE:
            for inner in [target.add(), target.add()] if field.is_repeated else [target]:
                fill(inner, next(iter(alternatives(inner)), None))
                inner.SetInParent()
        else:
            fill_scalar(message, field)
    return message


def fill_scalar(message: Message, field: Any) -> None:
    """Set a field that holds no message."""
    if field.is_repeated:
        getattr(message, field.name).extend([scalar_value(field)] * 2)
    else:
        setattr(message, field.name, scalar_value(field))


@pytest.mark.parametrize("key", GOLDEN)
def test_message_has_the_encoding_of_the_earlier_revision(key: str) -> None:
    name, _, number = key.partition("/")
    message_type = getattr(messages_pb2, RENAMED.get(name, name))
    encoded = bytes.fromhex(GOLDEN[key])
    assert (
        fill(message_type(), int(number) if number else None).SerializeToString(deterministic=True) == encoded
    )
    assert message_type.FromString(encoded).SerializeToString(deterministic=True) == encoded


@pytest.mark.parametrize(("name", "number"), [(name, number) for name in ADDED for number in ADDED[name]])
def test_added_field_has_its_encoding_and_is_empty_in_earlier_messages(name: str, number: int) -> None:
    message_type = getattr(messages_pb2, name)
    field = message_type.DESCRIPTOR.fields_by_number[number]
    message = message_type()
    fill_scalar(message, field)
    assert message.SerializeToString(deterministic=True) == ADDED[name][number]
    earlier = message_type.FromString(bytes.fromhex(GOLDEN[name]))
    assert getattr(earlier, field.name) == getattr(message_type(), field.name)


def test_all_messages_of_the_earlier_revision_exist() -> None:
    names = {RENAMED.get(name, name) for name in (key.partition("/")[0] for key in GOLDEN)}
    assert names <= set(messages_pb2.DESCRIPTOR.message_types_by_name)
