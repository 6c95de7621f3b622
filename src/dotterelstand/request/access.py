"""Authorization of requests by the keys of workspaces; does no I/O and reads no clock."""

import re
from collections.abc import Callable
from enum import Enum

from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.codes import Result as ResultCode
from dotterelstand.request.head import AUTHORIZATION, RequestHead, restrict_head
from dotterelstand.request.interfaces import Freshness
from dotterelstand.version.model import Document, Service
from dotterelstand.version.route import Route
from dotterelstand.version.workspace import (
    Workspace,
    digest_key,
    join_class,
    join_regions,
    split_class,
)

# Credentials of 1 to 256 visible ASCII characters; names of schemes have no case (RFC 9110 section
# 11.1).
_CREDENTIALS = re.compile(rb"token +([!-~]{1,256})", re.IGNORECASE)


def key_digest(head: RequestHead) -> bytes | None:
    """Digest of the key that a head carries; None without exactly one well-formed key."""
    values = [value for name, value in head.headers if name == AUTHORIZATION]
    match = _CREDENTIALS.fullmatch(values[0]) if len(values) == 1 else None
    return None if match is None else digest_key(match.group(1))


def authorize(
    document: Document, route: Route, digest: bytes | None
) -> Result[Workspace | None, ResultCode]:
    """Find the workspace of a request by the result of `key_digest`; fails with `UNAUTHORIZED`.

    It is None for a public route and for a document without workspaces.
    """
    if document.access is None or route.public:
        return Success(None)
    workspace = None if digest is None else document.access.find(digest)
    return Failure(ResultCode.UNAUTHORIZED) if workspace is None else Success(workspace)


def _is_proven(freshness: Freshness | None) -> bool:
    return freshness is None or freshness.is_proven()


def request_class(route: Route, workspace: Workspace | None) -> str:
    """Class of a request: the priority of its workspace takes precedence over its route's."""
    if workspace is None or workspace.priority is None:
        return route.klass
    return join_class(workspace.priority, split_class(route.klass)[1])


def class_number(document: Document, klass: str) -> int:
    """Number of a class in a document; the lowest class if the document lacks it."""
    classes = document.classes
    return classes.index(klass) if klass in classes else len(classes) - 1


class RefusalReason(Enum):
    """Reason for which a request is not permitted, as it is logged."""

    NO_KEY = "no_key"
    # Several fields, another scheme, or a key of a wrong length or with other characters.
    MALFORMED = "malformed"
    UNKNOWN_KEY = "unknown_key"
    UNPROVEN = "unproven"
    # The document changed while the request waited.
    KEY_REMOVED = "key_removed"
    WORKSPACE_CHANGED = "workspace_changed"
    # No region is allowed by route and workspace, or not the one of the target any more.
    REGION = "region"


class AccessRefusal:
    """Refusal of a request by the rules on keys and regions, and its workspace, if known."""

    __slots__ = ("code", "reason", "workspace")

    def __init__(
        self, code: ResultCode, reason: RefusalReason, workspace: Workspace | None = None
    ) -> None:
        self.code = code
        self.workspace = workspace
        self.reason = reason


_UNPROVEN = AccessRefusal(ResultCode.CONFIGURATION_UNPROVEN, RefusalReason.UNPROVEN)
_REMOVED = AccessRefusal(ResultCode.UNAUTHORIZED, RefusalReason.KEY_REMOVED)
# The request did not run, so that its caller may send it again at once.
_CHANGED = AccessRefusal(ResultCode.CONFIGURATION_UNPROVEN, RefusalReason.WORKSPACE_CHANGED)
_REGION = AccessRefusal(ResultCode.NO_TARGET, RefusalReason.REGION)


class AccessGuard:
    """Permission of one request to be sent, by the document in force at each check.

    Holds the digest of the request's key, never the key. `refusal` is that of the last check that
    failed.
    """

    __slots__ = (
        "_arrival",
        "_current",
        "_digest",
        "_freshness",
        "_host",
        "_method",
        "_path",
        "_regions",
        "_route",
        "_seen",
        "_standing",
        "refusal",
        "workspace",
    )

    def __init__(
        self,
        arrival: Document,
        route: Route,
        head: RequestHead,
        digest: bytes | None,
        workspace: Workspace | None,
        current: Callable[[], Document | None],
        freshness: Freshness | None,
    ) -> None:
        self._arrival = self._seen = arrival
        self._route = route
        self._path, self._method, self._host = head.path, head.method, head.host
        self._digest = digest
        self._current = current
        self._freshness = freshness
        self.workspace = workspace
        self.refusal: AccessRefusal | None = None
        # Refusal by the document last seen, whatever the proof of it.
        self._standing: AccessRefusal | None = None
        self._regions = self._allowed_regions(route, workspace)

    @property
    def regions(self) -> frozenset[str]:
        """Regions to whose targets the request may be sent; empty for any.

        Valid only after a check that succeeded.
        """
        return self._regions or frozenset()

    @property
    def klass(self) -> str:
        """Class of the request."""
        return request_class(self._route, self.workspace)

    def allowed_targets(self, service: Service) -> set[str]:
        """Names of the targets of a service to which the request may be sent."""
        targets, regions = service.targets, self.regions
        return {target.name for target in targets if not regions or target.region in regions}

    def check(self, region: str | None = None) -> ResultCode | None:
        """Refuse the request, or permit to send it now (None) to a target of a region.

        A region of None stands for each of `regions`.
        """
        document = self._current() or self._seen
        if document.access is not self._seen.access or document.routes is not self._seen.routes:
            self._apply(document)
        self._seen = document
        refusal = self._standing
        if self.workspace is not None and not _is_proven(self._freshness):
            refusal = _UNPROVEN
        if refusal is None and not self._allows(region):
            refusal = _REGION
        self.refusal = refusal
        return None if refusal is None else refusal.code

    def _allows(self, region: str | None) -> bool:
        if self._regions is None:
            return False
        return region is None or not self._regions or region in self._regions

    def _apply(self, document: Document) -> None:
        """Decide by a document that came after the request."""
        route = document.find_route(self._path, self._method, self._host) or self._route
        found = authorize(document, route, self._digest)
        self._standing = self._compare(document, found)
        workspace = found.unwrap() if is_successful(found) else None
        self._regions = self._allowed_regions(route, workspace or self.workspace)

    def _compare(
        self, document: Document, found: Result[Workspace | None, ResultCode]
    ) -> AccessRefusal | None:
        """Refusal of a request whose workspace is no longer the one at its arrival.

        Its quota, class, queue and headers are those of its workspace at arrival. If it now belongs
        to another one or to none, the caller has to send it again, which is safe as it did not run.
        """
        if (self._arrival.access is None) is not (document.access is None):
            same = self.workspace is None and document.access is None
            return None if same else _CHANGED
        if document.access is None:
            return None
        if self.workspace is None:
            known = is_successful(found) and found.unwrap() is None
            return None if known else _CHANGED
        if not is_successful(found):
            return _REMOVED
        # On a route that became public the key decides as before: it may have been removed.
        owner = None if self._digest is None else document.access.find(self._digest)
        same = owner is not None and owner.name == self.workspace.name
        return None if same else _CHANGED

    @staticmethod
    def _allowed_regions(route: Route, workspace: Workspace | None) -> frozenset[str] | None:
        allowed = frozenset() if workspace is None else workspace.allowed_regions
        return join_regions(route.allowed_regions, allowed)


def admit_request(
    document: Document,
    route: Route,
    head: RequestHead,
    current: Callable[[], Document | None],
    freshness: Freshness | None,
) -> Result[AccessGuard, AccessRefusal]:
    """Authorize a request at its arrival, and remove its key from its head.

    Fails with `UNAUTHORIZED`, or with `CONFIGURATION_UNPROVEN` without a proof that the document is
    current: an unknown key may have been added, and a known one removed.
    """
    digest = None if document.access is None else key_digest(head)
    found = authorize(document, route, digest)
    if not is_successful(found):
        refusal = AccessRefusal(found.failure(), _refusal_reason(head, digest))
        restrict_head(head, None)
        # A request without a key is refused by each version of the document.
        unproven = digest is not None and not _is_proven(freshness)
        return Failure(_UNPROVEN if unproven else refusal)
    workspace = found.unwrap()
    if document.access is not None:
        restrict_head(head, None if workspace is None else workspace.name)
    guard = AccessGuard(document, route, head, digest, workspace, current, freshness)
    code = guard.check()
    if code is ResultCode.CONFIGURATION_UNPROVEN:
        return Failure(AccessRefusal(code, RefusalReason.UNPROVEN, workspace))
    return Success(guard)


def _refusal_reason(head: RequestHead, digest: bytes | None) -> RefusalReason:
    """Reason for which a request on a route that needs a key is refused."""
    if digest is not None:
        return RefusalReason.UNKNOWN_KEY
    present = any(name == AUTHORIZATION for name, _ in head.headers)
    return RefusalReason.MALFORMED if present else RefusalReason.NO_KEY
