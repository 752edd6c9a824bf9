"""Reader of the operators' settings file: protobuf text format, with the schema built below.

An example of all sections:

    idle_hold_s: 45
    duties { mode: "on" hold: "renting" hold: "returning" lease_s: 5 }
    cells { name: "north" neighbour { name: "south" controller: "10.0.1.1:8081" } lease_s: 30 }

A controller without such a file does not import this module: the protobuf library costs start-up
time and memory.
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
from peathall.operator_config.settings import OperatorSettings

PACKAGE = "peathall"
Field = descriptor_pb2.FieldDescriptorProto


def _message_type(name: str, fields: list[tuple[str, int, int, str]]) -> Any:
    """A message type whose fields are numbered from 1. Each field is given as name, type, label and
    type name, which is empty unless the field is a message."""
    descriptor = descriptor_pb2.DescriptorProto(name=name)
    for number, (field, field_type, label, type_name) in enumerate(fields, 1):
        descriptor.field.add(
            name=field, number=number, type=field_type, label=label, type_name=type_name or None
        )
    return descriptor


def _new_message() -> Message:
    """An empty message of type `Operator`, whose schema is that of the operators' file."""
    optional, repeated = Field.LABEL_OPTIONAL, Field.LABEL_REPEATED
    schema = descriptor_pb2.FileDescriptorProto(name="peathall.proto", package=PACKAGE)
    schema.message_type.append(
        _message_type(
            "Duties",
            [
                ("mode", Field.TYPE_STRING, optional, ""),
                ("hold", Field.TYPE_STRING, repeated, ""),
                ("lease_s", Field.TYPE_DOUBLE, optional, ""),
            ],
        )
    )
    schema.message_type.append(
        _message_type(
            "Neighbour",
            [
                ("name", Field.TYPE_STRING, optional, ""),
                ("controller", Field.TYPE_STRING, repeated, ""),
            ],
        )
    )
    schema.message_type.append(
        _message_type(
            "Cells",
            [
                ("name", Field.TYPE_STRING, optional, ""),
                ("neighbour", Field.TYPE_MESSAGE, repeated, f".{PACKAGE}.Neighbour"),
                ("mode", Field.TYPE_STRING, optional, ""),
                ("lease_s", Field.TYPE_DOUBLE, optional, ""),
            ],
        )
    )
    schema.message_type.append(
        _message_type(
            "Operator",
            [
                ("idle_hold_s", Field.TYPE_DOUBLE, optional, ""),
                ("duties", Field.TYPE_MESSAGE, optional, f".{PACKAGE}.Duties"),
                ("cells", Field.TYPE_MESSAGE, optional, f".{PACKAGE}.Cells"),
            ],
        )
    )
    pool = descriptor_pool.DescriptorPool()
    pool.Add(schema)
    operator_type = pool.FindMessageTypeByName(f"{PACKAGE}.Operator")
    message: Message = message_factory.GetMessageClass(operator_type)()
    return message


def _parse(text: str) -> Message:
    """Parse the text of a file by the schema or, if it begins with `fields`, as the older form of
    the file, a google.protobuf.Struct. text_format.ParseError if it is neither."""
    message = _new_message()
    try:
        text_format.Parse(text, message)
    except text_format.ParseError:
        if not text.lstrip().startswith("fields"):
            raise
        message = struct_pb2.Struct()
        text_format.Parse(text, message)
    return message


def load_operator_settings(path: str) -> OperatorSettings:
    """Read and check the operators' settings file; SettingsError, which names the file, if it
    cannot be read or is not valid."""
    try:
        with open(path, encoding="utf-8") as file:
            message = _parse(file.read())
        raw = json_format.MessageToDict(message, preserving_proto_field_name=True)
        return msgspec.convert(raw, OperatorSettings)
    except (OSError, UnicodeDecodeError, text_format.ParseError) as exc:
        raise SettingsError(f"{path}: {exc}".replace("\n", " ")) from None
    except msgspec.ValidationError as exc:
        raise SettingsError(f"{path}: {exc}") from None
