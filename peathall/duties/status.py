"""What operators are told of duties."""

from __future__ import annotations

import msgspec
from msgspec import Struct

from peathall.duties.model import MARK, ActRecord, Duty, Handover, HolderRecord, TokenRecord
from peathall.store.client import KeyValue


class DutyStatus(Struct):
    """One duty."""

    duty: str
    holder: str | None
    since: float | None  # time of day
    token: int
    outstanding: list[str]  # names of unfinished actions
    handovers: list[Handover]
    waiting: str | None = None  # why work waits, if it does


class DutiesStatus(Struct):
    """All duties, as the state service has them."""

    answered_by: str
    leader: str | None
    on: bool
    duties: list[DutyStatus]


def describe(
    answered_by: str, items: list[KeyValue], leader: str | None, waiting: dict[str, str]
) -> DutiesStatus:
    """The status that these records show."""
    values = {item.key: item.value for item in items}
    found = [_describe_one(duty, values, waiting) for duty in Duty]
    return DutiesStatus(answered_by, leader, MARK in values, found)


def _describe_one(duty: Duty, values: dict[str, object], waiting: dict[str, str]) -> DutyStatus:
    held = values.get(duty.holder_key)
    holder = msgspec.convert(held, HolderRecord) if held is not None else None
    counted = msgspec.convert(values.get(duty.token_key, {}), TokenRecord)
    acts = {k: msgspec.convert(v, ActRecord) for k, v in values.items()
            if k.startswith(duty.act_prefix)}  # fmt: skip
    return DutyStatus(
        duty.value,
        holder.member if holder is not None else None,
        holder.since if holder is not None else None,
        counted.token,
        [key.removeprefix(duty.act_prefix) for key in acts],
        counted.latest,
        waiting.get(duty.value),
    )
