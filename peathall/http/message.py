"""HTTP requests and responses."""

from __future__ import annotations

REASONS = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    421: "Misdirected Request",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Request:
    """A request as it was received."""

    __slots__ = ("body", "method", "path", "query")

    def __init__(self, method: str, path: str, query: str, body: bytes) -> None:
        self.method = method
        self.path = path
        self.query = query
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
        self.status = status
        self.body = body
        self.content_type = content_type
        self.retry_after = retry_after
        self.close = close

    def encode(self) -> bytes:
        """The bytes on the wire."""
        head = (
            f"HTTP/1.1 {self.status} {REASONS.get(self.status, 'Status')}\r\n"
            f"Content-Type: {self.content_type}\r\nContent-Length: {len(self.body)}\r\n"
        )
        if self.retry_after is not None:
            head += f"Retry-After: {self.retry_after}\r\n"
        if self.close:
            head += "Connection: close\r\n"
        return head.encode() + b"\r\n" + self.body
