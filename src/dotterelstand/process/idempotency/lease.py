"""Ownership by lease with a fencing token, kept in one store object."""

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

CANDIDATES = 2
WRITE_ID_BYTES = 12

# Time after which an update that cannot be settled ends the lease; claims of this host begin anew.
SETTLE_LIMIT_S = 30.0

# Pauses between attempts to settle a write whose answer was lost, in seconds.
_FIRST_PAUSE_S = 0.02
_LAST_PAUSE_S = 0.2


class LeaseRecord:
    """Content of the store object: owner, epoch, write identifier, released, and payload."""

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
        """Form in which the store holds the record."""
        return cbor2.dumps([self.owner, self.epoch, self.write_id, self.released, self.payload])


def decode_lease(body: bytes) -> Result[LeaseRecord, str]:
    """Read a stored record; fails with a description of what is malformed."""
    try:
        owner, epoch, write_id, released, payload = cbor2.loads(body)
    except (cbor2.CBORDecodeError, TypeError, ValueError) as error:
        return Failure(f"not a lease record: {error}")
    types = (str, int, bytes, bool, bytes)
    if not all(map(isinstance, (owner, epoch, write_id, released, payload), types)):
        return Failure("lease record with fields of a wrong type")
    return Success(LeaseRecord(owner, epoch, write_id, released, payload))


class LeaseError(CodedError):
    """Why the lease was not taken or its record not updated."""

    __slots__ = ()


# Another host owns the object; nothing that was given to `update` took effect later than that.
LOST = 5101
# The update has not taken effect and never will.
NOT_WRITTEN = 5102
# The stored object cannot be read as a lease record.
MALFORMED = 5103


class LeaseWatch:
    """Decides when a candidate may take over, from versions seen and its own monotonic clock.

    The lease runs out when the version was seen unchanged for `lease_s` seconds, without a gap
    between two sightings of more than half of that: after an outage of the store the owner gets
    a full lease time to renew.
    """

    __slots__ = ("_lease_s", "_seen_at", "_since", "version")

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._since = 0.0
        self._seen_at: float | None = None
        self.version = -1

    def is_half_over(self, now: float) -> bool:
        """Whether half of the lease has passed since the version was first seen."""
        return self._seen_at is not None and now - self._since >= self._lease_s / 2

    def observe(self, now: float, version: int) -> bool:
        """Note the version seen at `now` (seconds); true if the lease has run out."""
        gap = self._seen_at is None or now - self._seen_at > self._lease_s / 2
        if gap or version != self.version:
            self.version = version
            self._since = now
        self._seen_at = now
        return now - self._since >= self._lease_s


class Lease:
    """One host's claim on a store object; every update is conditional on the last one.

    While the lease is held, the stored record has the epoch of this lease and only this object
    changes it. `update` returns success only if the store holds the update.
    """

    __slots__ = ("_host", "_name", "_random", "_store", "_version", "epoch", "held", "writing")

    def __init__(self, store: StoreClient, name: str, host: str, rng: random.Random) -> None:
        self._store = store
        self._name = name
        self._host = host
        self._random = rng
        self._version: int | None = None
        self.epoch = 0
        self.held = False
        self.writing = False

    async def acquire(
        self, seen: StoreValue | None, first_payload: bytes
    ) -> Result[LeaseRecord, LeaseError]:
        """Replace the record seen under its version (None: no object) by one with the next epoch.

        The payload is kept; `first_payload` is that of a new object.
        """
        require(not self.held, "lease acquired twice", lease=self._name)
        epoch, payload = 1, first_payload
        if seen is not None:
            decoded = decode_lease(seen.body)
            if not is_successful(decoded):
                return Failure(LeaseError(MALFORMED, decoded.failure()))
            epoch, payload = decoded.unwrap().epoch + 1, decoded.unwrap().payload
            # Versions order the updates of an object, so a newer one cannot have an older epoch.
            newer = self._version is not None and seen.version > self._version
            require(not newer or epoch > self.epoch, "epoch grows", lease=self._name, epoch=epoch)
        self._version = None if seen is None else seen.version
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
        """Replace the payload; with `released`, end the lease so that it may be taken at once.

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
        require(not self.writing, "one update in flight", lease=self._name)
        self.writing = True
        try:
            return await self._write_until_settled(record)
        finally:
            self.writing = False

    async def _write_until_settled(self, record: LeaseRecord) -> Result[None, LeaseError]:
        body = record.encode()
        uncertain = False
        pause_s = _FIRST_PAUSE_S
        give_up_at = trio.current_time() + SETTLE_LIMIT_S
        while trio.current_time() <= give_up_at:
            result = await self._store.write(self._name, body, self._version)
            if is_successful(result):
                self._version = result.unwrap().version
                return Success(None)
            error = result.failure()
            if error.code == UNCERTAIN:
                uncertain = True
            elif error.code == CONFLICT:
                # An earlier attempt, or another host, changed the object.
                return await self._settle_conflict(record, uncertain)
            elif error.code == TOO_LARGE or not uncertain:
                return Failure(LeaseError(NOT_WRITTEN, str(error)))
            # The attempt may still take effect, so nothing else may be written until one of the
            # repeated updates, all with one identifier and one condition, is known to have.
            await trio.sleep(pause_s * self._random.uniform(0.5, 1.0))
            pause_s = min(pause_s * 2, _LAST_PAUSE_S)
            if await self._find(record):
                return Success(None)
        return Failure(LeaseError(LOST, "the update could not be settled"))

    async def _settle_conflict(
        self, record: LeaseRecord, uncertain: bool
    ) -> Result[None, LeaseError]:
        """Whether the update that changed the object was ours; reads may lag behind it."""
        give_up_at = trio.current_time() + SETTLE_LIMIT_S
        while uncertain:
            seen = await self._store.read(self._name)
            if is_successful(seen) and seen.unwrap().version > (self._version or 0):
                if self._is_ours(seen.unwrap(), record):
                    return Success(None)
                break
            if trio.current_time() > give_up_at:
                break
            await trio.sleep(_LAST_PAUSE_S * self._random.uniform(0.25, 0.5))
        return Failure(LeaseError(LOST, "another host changed the object"))

    async def _find(self, record: LeaseRecord) -> bool:
        seen = await self._store.read(self._name)
        return is_successful(seen) and self._is_ours(seen.unwrap(), record)

    def _is_ours(self, seen: StoreValue, record: LeaseRecord) -> bool:
        decoded = decode_lease(seen.body)
        if not is_successful(decoded) or decoded.unwrap().write_id != record.write_id:
            return False
        self._version = seen.version
        log(Event.LEASE_WRITE_SETTLED, name=self._name, epoch=record.epoch)
        return True

    def _new_write_id(self) -> bytes:
        return self._random.randbytes(WRITE_ID_BYTES)


def choose_candidates(
    members: Sequence[Member], name: str, region: str = "", count: int = CANDIDATES
) -> tuple[str, ...]:
    """Hosts that may take over an object, in order of rendezvous hashing.

    Hosts that are leaving are not chosen; those of `region` come first.
    """
    staying = [member for member in members if not member.leaving]
    ranked = sorted(
        staying,
        key=lambda member: (
            member.region != region,
            -xxhash.xxh64_intdigest(f"{name}/{member.host}".encode()),
        ),
    )
    return tuple(member.host for member in ranked[:count])
