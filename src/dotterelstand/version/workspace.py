"""Workspaces of the operators' document: their keys, limits and regions."""

import hashlib
from collections.abc import Iterable

# Length in bytes of the digests by which keys are compared.
KEY_DIGEST_BYTES = 32
# Regions of a route or workspace that may be served anywhere.
ANY_REGION: frozenset[str] = frozenset()


def digest_key(key: bytes) -> bytes:
    """Digest of a key; keys are kept and compared only in this form."""
    return hashlib.blake2b(key, digest_size=KEY_DIGEST_BYTES).digest()


class Workspace:
    """A tenant of the document.

    `key_digests` are the digests of its keys. `priority`, unless None, takes precedence over the
    priority of the route. `rate_per_s` requests per second and a burst of `burst` requests are
    allowed on all entry hosts together; a rate of 0 means no limit. Its requests may only be sent
    to targets in `allowed_regions`, unless that is empty.
    """

    __slots__ = ("allowed_regions", "burst", "key_digests", "name", "priority", "rate_per_s")

    def __init__(
        self,
        name: str,
        key_digests: frozenset[bytes],
        priority: int | None = None,
        rate_per_s: float = 0.0,
        burst: float = 0.0,
        allowed_regions: frozenset[str] = ANY_REGION,
    ) -> None:
        self.name = name
        self.key_digests = key_digests
        self.priority = priority
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.allowed_regions = allowed_regions

    @property
    def is_limited(self) -> bool:
        """Whether the workspace has a quota."""
        return self.rate_per_s > 0


class WorkspaceIndex:
    """Workspaces of one document by name and by the digest of a key; immutable."""

    __slots__ = ("_by_digest", "_by_name")

    def __init__(self, workspaces: Iterable[Workspace]) -> None:
        self._by_name: dict[str, Workspace] = {}
        self._by_digest: dict[bytes, Workspace] = {}
        for workspace in workspaces:
            self._by_name[workspace.name] = workspace
            for digest in workspace.key_digests:
                assert digest not in self._by_digest, "two workspaces with the same key"
                self._by_digest[digest] = workspace

    def names(self) -> list[str]:
        """Names of all workspaces."""
        return list(self._by_name)

    def all(self) -> list[Workspace]:
        """All workspaces."""
        return list(self._by_name.values())

    def get(self, name: str) -> Workspace | None:
        """Workspace with a name, or None."""
        return self._by_name.get(name)

    def find(self, digest: bytes) -> Workspace | None:
        """Workspace that holds the key with a digest, or None."""
        return self._by_digest.get(digest)


def join_regions(one: frozenset[str], other: frozenset[str]) -> frozenset[str] | None:
    """Regions that both sets allow, `ANY_REGION` if neither restricts, None if they exclude all."""
    if not one or not other:
        return one or other
    return one & other or None


def join_class(priority: int, kind: str) -> str:
    """Class of requests of a priority, 0 being the highest, on routes of a type."""
    return f"{priority:03d}-{kind}"


def class_rank(klass: str) -> tuple[int, str]:
    """Key that sorts classes which `join_class` built, the highest priority first."""
    priority, kind = split_class(klass)
    return int(priority), kind


def split_class(klass: str) -> tuple[str, str]:
    """Priority and type of a class that `join_class` built."""
    priority, _, kind = klass.partition("-")
    return priority, kind
