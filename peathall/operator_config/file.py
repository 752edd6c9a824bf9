"""The operators' own settings: protobuf text format, by a schema that is built here.

    idle_hold_s: 45
    duties { mode: "on" hold: "renting" hold: "returning" lease_s: 5 }
    cells { name: "north" neighbour { name: "south" controller: "10.0.1.1:8081" } lease_s: 30 }

Imported only by a controller that is given such a file: the library costs start-up time and memory.
"""

from __future__ import annotations

from typing import Any

import msgspec
from google.protobuf import (
    descriptor_pb2,
    descriptor_pool,
    json_format,
    message_factory,
    struct_pb2,
    text_format,
)
from google.protobuf.message import Message

from peathall.config.platform import SettingsError
from peathall.operator_config.settings import Operator

PACKAGE = "peathall"
Field = descriptor_pb2.FieldDescriptorProto


def _message(name: str, fields: list[tuple[str, int, int, str]]) -> Any:
    """A message type of fields: name, type, label, and for a message its type's name."""
    described = descriptor_pb2.DescriptorProto(name=name)
    for number, (field, kind, label, type_name) in enumerate(fields, 1):
        described.field.add(
            name=field, number=number, type=kind, label=label, type_name=type_name or None
        )
    return described


def _new_message() -> Message:
    """An empty message of the operators' schema."""
    once, many = Field.LABEL_OPTIONAL, Field.LABEL_REPEATED
    described = descriptor_pb2.FileDescriptorProto(name="peathall.proto", package=PACKAGE)
    described.message_type.append(
        _message(
            "Duties",
            [
                ("mode", Field.TYPE_STRING, once, ""),
                ("hold", Field.TYPE_STRING, many, ""),
                ("lease_s", Field.TYPE_DOUBLE, once, ""),
            ],
        )
    )
    described.message_type.append(
        _message(
            "Neighbour",
            [
                ("name", Field.TYPE_STRING, once, ""),
                ("controller", Field.TYPE_STRING, many, ""),
            ],
        )
    )
    described.message_type.append(
        _message(
            "Cells",
            [
                ("name", Field.TYPE_STRING, once, ""),
                ("neighbour", Field.TYPE_MESSAGE, many, f".{PACKAGE}.Neighbour"),
                ("mode", Field.TYPE_STRING, once, ""),
                ("lease_s", Field.TYPE_DOUBLE, once, ""),
            ],
        )
    )
    described.message_type.append(
        _message(
            "Operator",
            [
                ("idle_hold_s", Field.TYPE_DOUBLE, once, ""),
                ("duties", Field.TYPE_MESSAGE, once, f".{PACKAGE}.Duties"),
                ("cells", Field.TYPE_MESSAGE, once, f".{PACKAGE}.Cells"),
            ],
        )
    )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(described)
    found = pool.FindMessageTypeByName(f"{PACKAGE}.Operator")
    made: Message = message_factory.GetMessageClass(found)()
    return made


def _parse(text: str) -> Message:
    """The file by our schema, or as the older form of it: a google.protobuf.Struct."""
    message = _new_message()
    try:
        text_format.Parse(text, message)
    except text_format.ParseError:
        if not text.lstrip().startswith("fields"):
            raise
        message = struct_pb2.Struct()
        text_format.Parse(text, message)
    return message


def load_operator(path: str) -> Operator:
    """The operators' settings from their file, checked."""
    try:
        with open(path, encoding="utf-8") as handle:
            message = _parse(handle.read())
        raw = json_format.MessageToDict(message, preserving_proto_field_name=True)
        return msgspec.convert(raw, Operator)
    except (OSError, UnicodeDecodeError, text_format.ParseError) as exc:
        raise SettingsError(f"{path}: {exc}".replace("\n", " ")) from None
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{path}: {exc}") from None
