"""Errors of requests to the state service and of writes to it."""

from __future__ import annotations


class StateServiceError(Exception):
    """Base class of all errors of this package.

    A `StoreError` means that a request failed, usually for a temporary reason. The other subclasses
    are results of a working service, or the loss of leadership.
    """


class StoreError(StateServiceError):
    """The request was not applied, or its response was unusable."""


class OutcomeUnknownError(StoreError):
    """No usable response: the request may have been applied, or may still be applied."""


class InvalidTransactionError(StoreError):
    """The service can never apply this transaction, for example because it is too large."""


class UnattainableRateError(InvalidTransactionError):
    """The transaction has more operations than the write rate ever allows at once."""


class RateLimitError(StoreError):
    """A rate limit was exceeded. The request was not applied; it may succeed later, or with fewer
    operations."""


class ConflictError(StateServiceError):
    """Conditions of a transaction did not hold; `failed` lists their keys."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(f"conditions failed: {failed}")
        self.failed = failed


class LeaseExpiredError(StateServiceError):
    """The lease has expired."""


class LeadershipLostError(StateServiceError):
    """Not written: another controller owns the guard key, or the writer was stopped."""
