"""Loading of a stored journal from its head and the segments that the head lists."""

import trio
from returns.pipeline import is_successful
from returns.result import Failure, Result, Success

from dotterelstand.process.idempotency.entry import decode_entries
from dotterelstand.process.idempotency.journal import Journal
from dotterelstand.process.idempotency.journaltypes import JournalLimits, Segment
from dotterelstand.process.idempotency.lease import LeaseRecord
from dotterelstand.process.storage.store import StoreClient

# Number of segments that are read concurrently.
PARALLEL_READS = 16


def segment_name(partition: str, segment: Segment) -> str:
    """Name of the store object of a segment."""
    return f"{partition}/segments/{segment.id}"


async def load_journal(
    store: StoreClient, partition: str, limits: JournalLimits, record: LeaseRecord
) -> Result[Journal, str]:
    """Load the journal for the epoch and head in `record`; fails with an error description."""
    journal = Journal(limits, record.epoch, trio.current_time())
    segments = journal.load_head(record.payload)
    if not is_successful(segments):
        return Failure(segments.failure())
    bodies = await _read_segments(store, partition, segments.unwrap())
    for segment in segments.unwrap():
        # Decoding a segment takes milliseconds, so other tasks must run between segments.
        await trio.lowlevel.checkpoint()
        body = bodies.pop(segment.id, None)
        if body is None:
            return Failure(f"segment {segment.id} cannot be read")
        decoded = decode_entries(body)
        if not is_successful(decoded):
            return Failure(decoded.failure())
        journal.apply_segment(decoded.unwrap())
    journal.finish_load()
    return Success(journal)


async def _read_segments(
    store: StoreClient, partition: str, segments: list[Segment]
) -> dict[str, bytes]:
    bodies: dict[str, bytes] = {}
    limiter = trio.CapacityLimiter(PARALLEL_READS)

    async def read(segment: Segment) -> None:
        async with limiter:
            value = await store.read(segment_name(partition, segment))
        if is_successful(value):
            bodies[segment.id] = value.unwrap().body

    async with trio.open_nursery() as nursery:
        for segment in segments:
            nursery.start_soon(read, segment)
    return bodies
