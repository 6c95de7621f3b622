"""Leases with a fencing token (the epoch), each kept in one store object."""

import random
from collections.abc import Sequence

import cbor2
import trio
import xxhash
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.errors import CodedError
from dotterelstand.events import Event, log
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.storage.store import (
    CONFLICT,
    TOO_LARGE,
    UNCERTAIN,
    StoreClient,
    StoreValue,
)
from dotterelstand.process.telemetry.invariant import require

CANDIDATE_COUNT = 2
WRITE_ID_BYTES = 12

# An update whose effect is still unknown after this time ends the lease; this host then competes
# for it again.
SETTLE_TIMEOUT_S = 30.0

# Pauses between attempts to find out whether an unanswered write took effect, in seconds.
_MIN_RETRY_PAUSE_S = 0.02
_MAX_RETRY_PAUSE_S = 0.2


class LeaseRecord:
    """Content of the store object: owner, epoch, write identifier, release flag and payload."""

    __slots__ = ("epoch", "owner", "payload", "released", "write_id")

    def __init__(
        self, owner: str, epoch: int, write_id: bytes, released: bool, payload: bytes
    ) -> None:
        self.owner = owner
        self.epoch = epoch
        self.write_id = write_id
        self.released = released
        self.payload = payload

    def encode(self) -> bytes:
        """Encode as CBOR for the store."""
        return cbor2.dumps([self.owner, self.epoch, self.write_id, self.released, self.payload])


def decode_lease(body: bytes) -> Result[LeaseRecord, str]:
    """Decode a stored record; fails with a description of the malformed part."""
    try:
        owner, epoch, write_id, released, payload = cbor2.loads(body)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        return Failure(f"not a lease record: {error}")
    types = (str, int, bytes, bool, bytes)
    if not all(map(isinstance, (owner, epoch, write_id, released, payload), types)):
        return Failure("lease record with fields of a wrong type")
    return Success(LeaseRecord(owner, epoch, write_id, released, payload))


class LeaseError(CodedError):
    """Reason for a failed acquisition or update of a lease."""

    __slots__ = ()


# Another host owns the object; no update of this host took effect after the takeover.
LOST = 5101
# The update has not taken effect and will not take effect later.
NOT_WRITTEN = 5102
# The stored object cannot be read as a lease record.
MALFORMED = 5103


class LeaseWatch:
    """Detects the expiry of a lease from observed versions and the candidate's monotonic clock.

    The lease expires when the version has been observed unchanged for `lease_s` seconds, with at
    most half of that time between two successive observations. So after an outage of the store
    the owner has a full lease time to renew.
    """

    __slots__ = ("_lease_s", "_observed_at", "_unchanged_since", "version")

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._unchanged_since = 0.0
        self._observed_at: float | None = None
        self.version = -1

    def is_half_elapsed(self, now: float) -> bool:
        """Whether half of the lease time has passed since the version was first observed."""
        return self._observed_at is not None and now - self._unchanged_since >= self._lease_s / 2

    def observe(self, now: float, version: int) -> bool:
        """Record the version observed at `now` (seconds); true if the lease has expired."""
        gap = self._observed_at is None or now - self._observed_at > self._lease_s / 2
        if gap or version != self.version:
            self.version = version
            self._unchanged_since = now
        self._observed_at = now
        return now - self._unchanged_since >= self._lease_s


class Lease:
    """Lease of one host on a store object; each update is conditional on the previous version.

    While the lease is held, the stored record has the epoch of this lease and only this instance
    changes it. `update` returns success only if the store holds the update.
    """

    __slots__ = ("_host", "_name", "_rng", "_store", "_version", "epoch", "held", "write_in_flight")

    def __init__(self, store: StoreClient, name: str, host: str, rng: random.Random) -> None:
        self._store = store
        self._name = name
        self._host = host
        self._rng = rng
        self._version: int | None = None
        self.epoch = 0
        self.held = False
        self.write_in_flight = False

    async def acquire(
        self, observed: StoreValue | None, first_payload: bytes
    ) -> Result[LeaseRecord, LeaseError]:
        """Replace the record in `observed` (None: no object) by one with the next epoch.

        The payload is kept; a new object gets `first_payload`.
        """
        require(not self.held, "lease acquired twice", lease=self._name)
        epoch, payload = 1, first_payload
        if observed is not None:
            decoded = decode_lease(observed.body)
            if not is_successful(decoded):
                return Failure(LeaseError(MALFORMED, decoded.failure()))
            epoch, payload = decoded.unwrap().epoch + 1, decoded.unwrap().payload
            # Each update raises the version, so a newer version cannot have an older epoch.
            newer = self._version is not None and observed.version > self._version
            require(not newer or epoch > self.epoch, "epoch grows", lease=self._name, epoch=epoch)
        self._version = None if observed is None else observed.version
        record = LeaseRecord(self._host, epoch, self._new_write_id(), False, payload)
        written = await self._write(record)
        if not is_successful(written):
            return Failure(written.failure())
        require(epoch > self.epoch, "epoch grows", lease=self._name, epoch=epoch, last=self.epoch)
        self.epoch = epoch
        self.held = True
        log(Event.LEASE_ACQUIRED, name=self._name, epoch=epoch)
        return Success(record)

    async def update(self, payload: bytes, released: bool = False) -> Result[None, LeaseError]:
        """Replace the payload; with `released`, end the lease so that others can take over at once.

        Fails with `NOT_WRITTEN`, after which the lease is still held, or with `LOST`.
        """
        require(self.held, "update without lease", lease=self._name)
        record = LeaseRecord(self._host, self.epoch, self._new_write_id(), released, payload)
        written = await self._write(record)
        if is_successful(written):
            if released:
                self.held = False
                log(Event.LEASE_RELEASED, name=self._name, epoch=self.epoch)
            return Success(None)
        error = written.failure()
        if error.code != NOT_WRITTEN:
            self.held = False
            log(Event.LEASE_LOST, name=self._name, epoch=self.epoch, error=str(error))
        return Failure(error)

    async def _write(self, record: LeaseRecord) -> Result[None, LeaseError]:
        require(not self.write_in_flight, "one update in flight", lease=self._name)
        self.write_in_flight = True
        try:
            return await self._write_until_settled(record)
        finally:
            self.write_in_flight = False

    async def _write_until_settled(self, record: LeaseRecord) -> Result[None, LeaseError]:
        body = record.encode()
        uncertain = False
        pause_s = _MIN_RETRY_PAUSE_S
        give_up_at = trio.current_time() + SETTLE_TIMEOUT_S
        while trio.current_time() <= give_up_at:
            result = await self._store.write(self._name, body, self._version)
            if is_successful(result):
                self._version = result.unwrap().version
                return Success(None)
            error = result.failure()
            if error.code == UNCERTAIN:
                uncertain = True
            elif error.code == CONFLICT:
                # Either an earlier attempt or another host changed the object.
                return await self._settle_conflict(record, uncertain)
            elif error.code == TOO_LARGE or not uncertain:
                return Failure(LeaseError(NOT_WRITTEN, str(error)))
            # The attempt may still take effect. The same update is repeated, with the same write
            # identifier and condition, until one attempt is known to have taken effect; until then
            # nothing else may be written.
            await trio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
            pause_s = min(pause_s * 2, _MAX_RETRY_PAUSE_S)
            if await self._is_stored(record):
                return Success(None)
        return Failure(LeaseError(LOST, "cannot determine whether the update took effect"))

    async def _settle_conflict(
        self, record: LeaseRecord, uncertain: bool
    ) -> Result[None, LeaseError]:
        """Determine whether this host changed the object; reads may lag behind the change."""
        give_up_at = trio.current_time() + SETTLE_TIMEOUT_S
        while uncertain:
            observed = await self._store.read(self._name)
            if is_successful(observed) and observed.unwrap().version > (self._version or 0):
                if self._accept_own_write(observed.unwrap(), record):
                    return Success(None)
                break
            if trio.current_time() > give_up_at:
                break
            await trio.sleep(_MAX_RETRY_PAUSE_S * self._rng.uniform(0.25, 0.5))
        return Failure(LeaseError(LOST, "another host changed the object"))

    async def _is_stored(self, record: LeaseRecord) -> bool:
        observed = await self._store.read(self._name)
        return is_successful(observed) and self._accept_own_write(observed.unwrap(), record)

    def _accept_own_write(self, observed: StoreValue, record: LeaseRecord) -> bool:
        decoded = decode_lease(observed.body)
        if not is_successful(decoded) or decoded.unwrap().write_id != record.write_id:
            return False
        self._version = observed.version
        log(Event.LEASE_WRITE_SETTLED, name=self._name, epoch=record.epoch)
        return True

    def _new_write_id(self) -> bytes:
        return self._rng.randbytes(WRITE_ID_BYTES)


def choose_candidates(
    members: Sequence[Member], name: str, region: str = "", count: int = CANDIDATE_COUNT
) -> tuple[str, ...]:
    """Choose the hosts that may take over an object, ranked by rendezvous hashing.

    Leaving hosts are excluded; hosts of `region` rank first.
    """
    eligible = [member for member in members if not member.leaving]
    ranked = sorted(
        eligible,
        key=lambda member: (
            member.region != region,
            -xxhash.xxh64_intdigest(f"{name}/{member.host}".encode()),
        ),
    )
    return tuple(member.host for member in ranked[:count])
