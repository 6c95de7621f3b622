"""Head of a target's answer, and what it tells of the request."""

from dotterelstand.request.fields import HeaderFields, announces_draining, names_target
from dotterelstand.request.head import Headers

# Statuses from which a caller may conclude that its request was not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

# Greatest status that is defined; h11 takes all of three digits and refuses others.
MAX_STATUS = 599


class AnswerHead:
    """Status and headers of a target's answer."""

    __slots__ = ("_fields", "_values", "headers", "status")

    def __init__(self, status: int, headers: Headers, fields: HeaderFields) -> None:
        self.status = status
        self.headers = headers
        self._fields = fields
        self._values = dict(headers)

    def value(self, name: bytes) -> bytes | None:
        """Last value of a header, or None if it is absent."""
        return self._values.get(name)

    def is_refusal(self) -> bool:
        """Whether the target reports that it did not run the request (see `HeaderFields`)."""
        if self.status in self._fields.not_run_statuses:
            return True
        if self.status > MAX_STATUS:
            return False
        value = self.value(self._fields.not_run)
        if value is None:
            return False
        expected = self._fields.not_run_value
        return not expected or (self.status == 503 and value == expected)

    def is_unaltered(self) -> bool:
        """Whether the answer shows no sign of a change in transit.

        A Content-Encoding is such a sign, and so is a success without the signature header.
        """
        if self.value(b"content-encoding") is not None:
            return False
        signature = self._fields.signature
        return not signature or self.status >= 300 or bool(self.value(signature))

    def matches_request(self, request_id: bytes | None) -> bool:
        """Whether the answer belongs to a request.

        A missing id is a match only if targets need not send it (see `HeaderFields`). If they do,
        an answer with an id does not belong to a request without one.
        """
        answered_id = self.value(self._fields.request_id)
        if self._fields.echoes_request_id:
            return (answered_id or None) == (request_id or None)
        return answered_id is None or request_id in (None, answered_id)

    def announces_draining(self, target: str) -> bool:
        """Whether a target says that it is draining; another one may answer at its address."""
        return announces_draining(self._values, self._fields) and names_target(
            self._values, self._fields, target
        )

    def claims_not_run(self) -> bool:
        """Whether the status suggests that the request was not run, without being a refusal."""
        return self.status in NOT_RUN_STATUSES and not self.is_refusal()

    def is_malformed(self) -> bool:
        """Whether the status is beyond 599, or there are Content-Length and Transfer-Encoding."""
        if self.status > MAX_STATUS:
            return True
        length = self.value(b"content-length") is not None
        return length and self.value(b"transfer-encoding") is not None
