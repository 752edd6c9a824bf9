"""Errors of requests between cells."""

from __future__ import annotations


class CellError(Exception):
    """Another cell did not respond, or refused; the message says why."""


class ReplacedError(Exception):
    """A message of an epoch or order that a later one has replaced."""
