"""Tests of the journal service: keyed requests at several hosts over an in-memory network."""

import random

import pytest
import trio
import trio.lowlevel

from dotterelstand.codes import Result as ResultCode
from dotterelstand.connection.network import Network
from dotterelstand.process.idempotency.journalcall import (
    Go,
    Recorded,
    Refused,
    done,
    not_run_outcome,
)
from dotterelstand.process.idempotency.journalowner import OwnerSettings
from dotterelstand.process.idempotency.journalservice import JournalService
from dotterelstand.process.idempotency.journaltypes import JournalLimits
from dotterelstand.process.peering.mesh import Member
from dotterelstand.process.storage.store import StoreClient
from dotterelstand.standin.httpd import serve_http
from dotterelstand.standin.mesh import FakeMeshNetwork
from dotterelstand.standin.network import FakeNetwork
from dotterelstand.standin.platform import ObjectStore
from dotterelstand.standin.virtual import run_virtual


async def _open_hosts(
    nursery: trio.Nursery, count: int
) -> tuple[FakeMeshNetwork, list[JournalService]]:
    network = FakeNetwork(lambda one, other: 0.001)
    store = ObjectStore()
    listener = await network.at("store").listen("store", 1)

    async def serve(stream: trio.abc.Stream) -> None:
        await serve_http(stream, store.handle)

    nursery.start_soon(listener.serve, serve, nursery)
    hub = FakeMeshNetwork(lambda one, other: 0.001)
    nursery.start_soon(hub.run)
    services = []
    await trio.lowlevel.checkpoint()
    for number in range(count):
        mesh = hub.join(Member(f"entry-{number}", "r1", "z1", False))
        host_network: Network = network.at(mesh.host)
        client = StoreClient("store", 1, host_network, 1.0, rng=random.Random(number))
        service = JournalService(
            client, mesh, OwnerSettings(), JournalLimits(), random.Random(number)
        )
        services.append(service)
        nursery.start_soon(service.run)
    await trio.sleep(1.0)
    return hub, services


async def _repeat(kind: str) -> list[object]:
    async with trio.open_nursery() as nursery:
        _, services = await _open_hosts(nursery, 3)
        first = await services[0].begin(b"k", b"body", "orders")
        assert isinstance(first, Go)
        if kind == "done":
            services[0].finish(first, done(201, [(b"X", b"1")], b"ok"))
        elif kind == "large":
            services[0].finish(first, done(201, [(b"X", b"1")], b"x" * 5000))
        elif kind == "not run":
            services[0].finish(first, not_run_outcome(ResultCode.CONNECT_FAILED))
        await trio.sleep(0.5)
        body = b"other" if kind == "other body" else b"body"
        second = await services[1].begin(b"k", body, "orders")
        nursery.cancel_scope.cancel()
    if isinstance(second, Recorded):
        return [second.status, second.headers, second.body]
    return [second.code] if isinstance(second, Refused) else ["go"]


@pytest.mark.parametrize(
    ("kind", "expected"),
    [
        ("done", [201, [(b"x", b"1"), (b"content-length", b"2")], b"ok"]),
        (
            "large",
            [
                201,
                [(b"x", b"1"), (b"dotterelstand-body", b"not-kept"), (b"content-length", b"0")],
                b"",
            ],
        ),
        ("not run", ["go"]),
        ("running", [ResultCode.KEY_RUNNING]),
        ("other body", [ResultCode.KEY_REUSED]),
    ],
)
def test_a_key_seen_again_gets_the_answer_of_its_state(kind: str, expected: list[object]) -> None:
    """Guards against a repeated key that runs again or gets the wrong result."""
    assert run_virtual(_repeat, kind, seed=1) == expected
