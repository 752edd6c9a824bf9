"""Errors of the state service and of writing to it."""

from __future__ import annotations


class StateServiceError(Exception):
    """Root of all errors of this package.

    Callers handle its kinds differently: a `StoreError` says that the service could not be used,
    which is temporary; the others are results from a working service, or the loss of leadership.
    """


class StoreError(StateServiceError):
    """The request was not carried out, or its response could not be used."""


class OutcomeUnknownError(StoreError):
    """No response: the request may have been carried out, or may yet be."""


class InvalidTransactionError(StoreError):
    """The service will never carry out this transaction as it is, for example for its size."""


class RateLimitError(StoreError):
    """Refused for the rate of requests or changes: not carried out, and valid at another time, or
    with fewer changes."""


class ConflictError(StateServiceError):
    """Conditions of a transaction did not hold; `failed` names their keys."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"conditions failed: {failed}")
        self.failed = failed


class LeaseExpiredError(StateServiceError):
    """The lease has ended."""


class LeadershipLostError(StateServiceError):
    """The guard key belongs to another controller, or the writer was stopped: not written."""
