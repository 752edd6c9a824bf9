"""The status of duties for operators; it is sent as JSON under these field names."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from peathall.duties.model import (
    ENABLED_KEY,
    ActionIntent,
    Duty,
    Handover,
    HolderRecord,
    TokenRecord,
)
from peathall.protocol.state_service import KeyValue


class DutyStatus(Struct):
    """The status of one duty."""

    duty: str
    holder: str | None
    since: float | None  # seconds since the epoch
    token: int
    outstanding: list[str]  # names of unfinished actions
    handovers: list[Handover]
    waiting: str | None = None  # why work of the duty waits; None if it does not


class DutiesStatus(Struct):
    """The status of all duties, from the records in the state service."""

    answered_by: str
    leader: str | None
    on: bool
    duties: list[DutyStatus]


def describe(
    answered_by: str, items: list[KeyValue], leader: str | None, waiting: dict[str, str]
) -> DutiesStatus:
    """The status given by these records; `waiting`: the reasons why work waits, by duty."""
    values = {item.key: item.value for item in items}
    found = [_describe_one(duty, values, waiting) for duty in Duty]
    return DutiesStatus(answered_by, leader, ENABLED_KEY in values, found)


def _describe_one(duty: Duty, values: dict[str, object], waiting: dict[str, str]) -> DutyStatus:
    holder_value = values.get(duty.holder_key)
    holder = msgspec.convert(holder_value, HolderRecord) if holder_value is not None else None
    token_record = msgspec.convert(values.get(duty.token_key, {}), TokenRecord)
    unfinished = [key for key in values if key.startswith(duty.action_prefix)]
    for key in unfinished:
        msgspec.convert(values[key], ActionIntent)  # raises if the record is damaged
    return DutyStatus(
        duty.value,
        holder.member if holder is not None else None,
        holder.since if holder is not None else None,
        token_record.token,
        [key.removeprefix(duty.action_prefix) for key in unfinished],
        token_record.latest,
        waiting.get(duty.value),
    )
