"""HTTP requests and responses."""

from __future__ import annotations

from http import HTTPStatus

# HTTPStatus.phrase differs between Python versions (422); the bytes of a response must not.
REASONS: dict[int, str] = {
    HTTPStatus.OK: "OK",
    HTTPStatus.CREATED: "Created",
    HTTPStatus.BAD_REQUEST: "Bad Request",
    HTTPStatus.FORBIDDEN: "Forbidden",
    HTTPStatus.NOT_FOUND: "Not Found",
    HTTPStatus.METHOD_NOT_ALLOWED: "Method Not Allowed",
    HTTPStatus.CONFLICT: "Conflict",
    HTTPStatus.MISDIRECTED_REQUEST: "Misdirected Request",
    HTTPStatus.UNPROCESSABLE_ENTITY: "Unprocessable Content",
    HTTPStatus.TOO_MANY_REQUESTS: "Too Many Requests",
    HTTPStatus.INTERNAL_SERVER_ERROR: "Internal Server Error",
    HTTPStatus.SERVICE_UNAVAILABLE: "Service Unavailable",
    HTTPStatus.GATEWAY_TIMEOUT: "Gateway Timeout",
}

# Keys are plain ints, as most responses have them: the lookup is faster than with HTTPStatus.
_STATUS_LINES = {int(status): f"HTTP/1.1 {status:d} {REASONS[status]}" for status in REASONS}


class Request:
    """A received request."""

    __slots__ = ("body", "method", "path", "query")

    def __init__(self, method: str, path: str, query: str, body: bytes) -> None:
        self.method = method
        self.path = path  # without the query, percent-decoded
        self.query = query  # as received
        self.body = body


class Response:
    """A response to be sent."""

    __slots__ = ("body", "close", "content_type", "retry_after", "status")

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        content_type: str = "application/cbor",
        retry_after: int | None = None,
        close: bool = False,
    ) -> None:
        self.status = status  # an HTTPStatus or its number
        self.body = body
        self.content_type = content_type
        self.retry_after = retry_after  # s until the client may repeat its request
        self.close = close  # the connection is closed after this response

    def encode(self) -> bytes:
        """The bytes that are sent."""
        status_line = _STATUS_LINES.get(self.status) or f"HTTP/1.1 {self.status:d} Status"
        head = (
            f"{status_line}\r\n"
            f"Content-Type: {self.content_type}\r\nContent-Length: {len(self.body)}\r\n"
        )
        if self.retry_after is not None:
            head += f"Retry-After: {self.retry_after}\r\n"
        if self.close:
            head += "Connection: close\r\n"
        return head.encode() + b"\r\n" + self.body
