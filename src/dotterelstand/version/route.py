"""Routes, and the choice of the route of a request."""

import copy
import re
from collections.abc import Iterable, Iterator

from dotterelstand.version.workspace import ANY_REGION

# Routes with more path segments are rejected, which bounds the cost of a lookup.
MAX_PREFIX_SEGMENTS = 16
# Method key of a route that accepts every method.
ANY_METHOD = "*"

_ENCODED_UNRESERVED = re.compile("%([0-9A-Fa-f]{2})")


class Share:
    """Service that receives a share of a route's requests, in proportion to its weight."""

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route:
    """Rules for requests with one path prefix.

    `host` is empty for any host, and `methods` for any method. `key` says whether an idempotency
    key is "none", "optional" or "required". `deadline_s` limits the time without progress;
    `timeout_s`, unless None, limits the time to the end of the answer. `attempts` is the maximum
    number of attempts at targets per request; None uses the setting. `latency_objective_s` is the
    latency objective, or None. `split`, unless empty, divides the requests among services in place
    of `service`. Requests on a `public` route need no key of a workspace. Requests may only be
    sent to targets in `allowed_regions`, unless that is empty.
    """

    __slots__ = (
        "allowed_regions",
        "attempts",
        "deadline_s",
        "host",
        "idempotent",
        "key",
        "klass",
        "latency_objective_s",
        "methods",
        "prefix",
        "public",
        "service",
        "split",
        "timeout_s",
    )

    def __init__(
        self,
        prefix: str,
        methods: frozenset[str],
        service: str,
        idempotent: bool,
        key: str,
        klass: str,
        deadline_s: float,
        *,
        host: str = "",
        timeout_s: float | None = None,
        attempts: int | None = None,
        latency_objective_s: float | None = None,
        split: tuple[Share, ...] = (),
        public: bool = False,
        allowed_regions: frozenset[str] = ANY_REGION,
    ) -> None:
        self.public = public
        self.allowed_regions = allowed_regions
        self.host = route_host(host)
        self.timeout_s = timeout_s
        self.attempts = attempts
        self.latency_objective_s = latency_objective_s
        self.split = split
        self.prefix = prefix
        self.methods = methods
        self.service = service
        self.idempotent = idempotent
        self.key = key
        self.klass = klass
        self.deadline_s = deadline_s

    def as_not_idempotent(self) -> "Route":
        """Return a copy of the route whose requests run at most once."""
        route = copy.copy(self)
        route.idempotent = False
        return route


class RouteIndex:
    """Routes by host, prefix and method; a lookup costs one step per path segment.

    A prefix that ends with a slash matches the paths that begin with it, and any other prefix those
    in which it is followed by a slash or by nothing. With `decodes_paths`, percent-encoded
    unreserved characters of a path match the characters themselves.
    """

    __slots__ = ("_decodes_paths", "_max_slashes", "_routes")

    def __init__(self, routes: Iterable[Route] = (), decodes_paths: bool = True) -> None:
        self._decodes_paths = decodes_paths
        # Routes by host, prefix and method.
        self._routes: dict[str, dict[str, dict[str, Route]]] = {}
        self._max_slashes = 0
        for route in routes:
            self.add(route)

    def add(self, route: Route) -> None:
        """Add a route; not allowed once the document with this index is in use."""
        methods = self._routes.setdefault(route.host, {}).setdefault(route.prefix, {})
        methods.update({method: route for method in route.methods or (ANY_METHOD,)})
        self._max_slashes = max(self._max_slashes, route.prefix.count("/"))

    def find(self, path: str, method: str, host: str = "") -> Route | None:
        """Find the route with the longest prefix of a path that accepts the method.

        Routes of the host take precedence over routes of any host. A target may decode the path or
        not, so a route is returned as not idempotent if that of the other form of the path is not.
        """
        decoded = decode_unreserved(path)
        if decoded == path:
            return self._find(path, method, host)
        forms = (decoded, path) if self._decodes_paths else (path, decoded)
        route, other = (self._find(form, method, host) for form in forms)
        if route is not None and other is not None and not other.idempotent:
            return route.as_not_idempotent()
        return route

    def methods(self, path: str, host: str = "") -> frozenset[str]:
        """Return the methods of all routes that match a path; empty if none matches."""
        form = decode_unreserved(path) if self._decodes_paths else path
        return frozenset(method for methods in self._matches(form, host) for method in methods)

    def _find(self, path: str, method: str, host: str) -> Route | None:
        for methods in self._matches(path, host):
            route = methods.get(method) or methods.get(ANY_METHOD)
            if route is not None:
                return route
        return None

    def _matches(self, path: str, host: str) -> Iterator[dict[str, Route]]:
        path = path.partition("?")[0]
        for name in (host, "") if host else ("",):
            routes = self._routes.get(name)
            if routes is None:
                continue
            for prefix in _prefixes(path, self._max_slashes):
                if prefix in routes:
                    yield routes[prefix]


def _prefixes(path: str, max_slashes: int) -> Iterator[str]:
    """Yield the prefixes that a route which matches the path may have, longest first."""
    segments = path.split("/", max_slashes + 1)
    for slashes in range(min(max_slashes, len(segments) - 1), 0, -1):
        below = "/".join(segments[:slashes]) + "/"
        if segments[slashes]:
            yield below + segments[slashes]
        yield below


def decode_unreserved(path: str) -> str:
    """Decode percent-encoded unreserved characters, which RFC 3986 treats as equivalent."""
    return _ENCODED_UNRESERVED.sub(_decode_unreserved, path) if "%" in path else path


def _decode_unreserved(match: re.Match[str]) -> str:
    character = chr(int(match.group(1), 16))
    unreserved = character.isascii() and (character.isalnum() or character in "-._~")
    return character if unreserved else match.group(0)


def route_host(value: str) -> str:
    """Normalize the host of a Host header or of a route: lower case, without a port."""
    return value.strip().lower().partition(":")[0]
