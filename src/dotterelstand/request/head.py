"""Validation of a caller's request head, and the headers that are forwarded."""

import h11
import xxhash
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.codes import Result as ResultCode
from dotterelstand.request.fields import (
    DEFAULT_FIELDS,
    RESULT_HEADER,
    RUN_HEADER,
    HeaderFields,
    encode_target,
    encode_workspace,
)
from dotterelstand.version.route import decode_unreserved, route_host

WORKSPACE_HEADER = b"dotterelstand-tenant"
KEY_HEADER = b"idempotency-key"
AUTHORIZATION = b"authorization"
# Workspace of requests that name none.
NO_WORKSPACE = "default"

MAX_KEY_BYTES = 255
MAX_WORKSPACE_BYTES = 64

Headers = list[tuple[bytes, bytes]]

# Hop-by-hop headers (RFC 9110 section 7.6.1) and headers that only dotterelstand may set.
_NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"expect",
        RESULT_HEADER,
        RUN_HEADER,
    }
)

_NEVER_DROPPED = frozenset({b"host", b"content-length", b"transfer-encoding"})


class RequestHead:
    """Validated request head; `arrived_s` is a time of the monotonic clock in seconds.

    `workspace` labels the request in queues, metrics and log lines. If it was found by a key,
    `has_key` is set, and the target gets its name.
    """

    __slots__ = (
        "arrived_s",
        "deadline_s",
        "fields",
        "has_key",
        "headers",
        "host",
        "key",
        "method",
        "path",
        "request_id",
        "workspace",
    )

    def __init__(
        self,
        method: str,
        path: str,
        headers: Headers,
        key: bytes | None,
        workspace: str,
        deadline_s: float | None,
        fields: HeaderFields = DEFAULT_FIELDS,
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.key = key
        self.workspace = workspace
        self.deadline_s = deadline_s
        self.fields = fields
        values = dict(headers)
        self.host = route_host(values.get(b"host", b"").decode("latin-1"))
        self.request_id = values.get(fields.request_id)
        self.arrived_s: float | None = None
        self.has_key = False

    def declared_length(self) -> int | None:
        """Value of Content-Length in bytes, or None without that header."""
        value = next((value for name, value in self.headers if name == b"content-length"), None)
        return None if value is None else int(value)

    def has_body(self) -> bool:
        """Whether the headers declare a non-empty or chunked body."""
        return any(
            name == b"transfer-encoding" or (name == b"content-length" and value.strip() != b"0")
            for name, value in self.headers
        )


def _is_unambiguous(decoded_path: str) -> bool:
    """Whether the path matches the same route after a target has normalized it."""
    path = decoded_path.partition("?")[0]
    if path.startswith("//") or "\\" in path or "#" in path:
        return False
    return not any(segment in (".", "..") for segment in path.split("/"))


def head_digest(head: RequestHead) -> bytes:
    """First 8 bytes of the fingerprint of a request: method, path and query."""
    return xxhash.xxh3_64_digest(f"{head.method} {head.path}".encode())


def read_head(
    request: h11.Request, fields: HeaderFields = DEFAULT_FIELDS
) -> Result[RequestHead, ResultCode]:
    """Validate a parsed request head; fails with the result code of the refusal."""
    headers: Headers = [(bytes(name), bytes(value)) for name, value in request.headers]
    names = [name for name, _ in headers]
    if b"transfer-encoding" in names and b"content-length" in names:
        # The combination allows request smuggling (RFC 9112 section 6.3).
        return Failure(ResultCode.BAD_REQUEST)
    values = dict(headers)
    if names.count(KEY_HEADER) > 1 or len(values.get(KEY_HEADER, b"")) > MAX_KEY_BYTES:
        return Failure(ResultCode.BAD_REQUEST)
    workspace = (
        values.get(WORKSPACE_HEADER, b"")[:MAX_WORKSPACE_BYTES].decode("latin-1") or NO_WORKSPACE
    )
    deadline_s: float | None = None
    if fields.deadline in values:
        text = values[fields.deadline]
        if not text.isdigit() or len(text) > 9:
            return Failure(ResultCode.BAD_REQUEST)
        deadline_s = int(text) / 1000
    target = bytes(request.target)
    if not target.startswith(b"/"):
        return Failure(ResultCode.BAD_REQUEST)
    head = RequestHead(
        bytes(request.method).decode("ascii"),
        target.decode("latin-1"),
        headers,
        values.get(KEY_HEADER),
        workspace,
        deadline_s,
        fields,
    )
    if not _is_unambiguous(decode_unreserved(head.path)):
        return Failure(ResultCode.BAD_REQUEST)
    return Success(head)


def restrict_head(head: RequestHead, workspace: str | None) -> None:
    """Remove the key, and all that a caller says of its workspace, which `workspace` replaces.

    None stands for a request that needs no key.
    """
    dropped = {AUTHORIZATION, head.fields.workspace}
    head.headers = [field for field in head.headers if field[0] not in dropped]
    head.workspace = NO_WORKSPACE if workspace is None else workspace
    head.has_key = workspace is not None


def forwarded_headers(head: RequestHead, remaining_s: float, target: str) -> Headers:
    """Headers of the request to a target, with the target's name and the remaining time added."""
    fields = head.fields
    own = {fields.deadline, fields.target, RESULT_HEADER, RUN_HEADER}
    dropped: frozenset[bytes] | set[bytes] = _NOT_FORWARDED | own
    has_host = False
    for name, value in head.headers:
        if name == b"host":
            has_host = True
        elif name == b"connection":
            dropped = dropped | {token.strip().lower() for token in value.split(b",")}
    # The Connection header of a caller must not remove the framing headers or the host.
    dropped = dropped - _NEVER_DROPPED - {fields.request_id}
    headers = [field for field in head.headers if field[0] not in dropped]
    if not has_host:
        # HTTP/1.0 requests may lack a host; RFC 9112 section 3.2 requires an empty value then.
        headers.insert(0, (b"host", b""))
    headers.append((fields.deadline, b"%d" % max(1, int(remaining_s * 1000))))
    headers.append((fields.target, encode_target(target)))
    if head.has_key and fields.workspace:
        headers.append((fields.workspace, encode_workspace(head.workspace)))
    return headers


def returned_headers(headers: Headers, fields: HeaderFields) -> Headers:
    """Headers of a target's answer that are forwarded to the caller."""
    dropped = _NOT_FORWARDED | {fields.load, *fields.draining, fields.deadline}
    return [(name, value) for name, value in headers if name not in dropped]


def release_frames(error: h11.ProtocolError) -> None:
    """Drop the traceback of an error of h11's, which refers to itself by a frame."""
    error.__traceback__ = None


def parse_head(
    state: h11.Connection, received: bytes, fields: HeaderFields, max_body_bytes: int
) -> tuple[h11.Connection, bytes, RequestHead] | ResultCode:
    """Parse a whole head; returns the state of the request, its method and head, or the refusal."""
    state.receive_data(received)
    try:
        event = state.next_event()
    except h11.RemoteProtocolError as error:
        release_frames(error)
        return ResultCode.BAD_REQUEST
    if not isinstance(event, h11.Request):
        return ResultCode.BAD_REQUEST
    result = read_head(event, fields)
    if not is_successful(result):
        return result.failure()
    head = result.unwrap()
    if (head.declared_length() or 0) > max_body_bytes:
        return ResultCode.BODY_TOO_LARGE
    return state, event.method, head
