"""Errors of requests between cells."""

from __future__ import annotations


class CellError(Exception):
    """Another cell did not respond, or refused the request; the message says why."""


class StaleMessageError(Exception):
    """A message is out of date: one with a later epoch, term or sequence was received before."""
