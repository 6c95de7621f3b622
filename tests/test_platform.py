"""Tests of the store client with the stand-in, over TCP and over the in-memory network."""

from collections.abc import Awaitable, Callable

import pytest
import trio
from returns.pipeline import is_successful

from dotterelstand.connection.network import TcpNetwork
from dotterelstand.process.storage.store import (
    CONFLICT,
    MAX_VALUE_BYTES,
    MISSING,
    REFUSED,
    TOO_LARGE,
    UNAVAILABLE,
    UNCERTAIN,
    StoreClient,
)
from dotterelstand.standin.network import FakeNetwork
from dotterelstand.standin.platform import ObjectStore, serve_platform
from dotterelstand.standin.virtual import run_virtual

Scenario = Callable[[StoreClient, ObjectStore], Awaitable[None]]


async def _write_and_list(client: StoreClient, store: ObjectStore) -> None:
    version = (await client.write("a/1", b"x", None)).unwrap().version
    assert (await client.write("a/1", b"y", None)).failure().code == CONFLICT
    assert (await client.list("a/")).unwrap() == [("a/1", version)]
    assert is_successful(await client.delete("a/1"))
    assert (await client.read("a/1")).failure().code == MISSING


async def _large_value(client: StoreClient, store: ObjectStore) -> None:
    assert is_successful(await client.write("a", b"x" * MAX_VALUE_BYTES, None))
    too_large = await client.write("b", b"x" * (MAX_VALUE_BYTES + 1), None)
    assert too_large.failure().code == TOO_LARGE
    assert store.counts.kinds["write"] == 1


async def _lost_answer(client: StoreClient, store: ObjectStore) -> None:
    store.faults.update({"lose_answer": 1.0}).unwrap()
    assert (await client.write("a", b"x", None)).failure().code == UNCERTAIN
    assert (await client.read("a")).unwrap().body == b"x"


async def _unavailable_store(client: StoreClient, store: ObjectStore) -> None:
    store.faults.update({"down": True}).unwrap()
    for _ in range(3):
        assert (await client.read("a")).failure().code == UNAVAILABLE
    assert (await client.read("a")).failure().code == REFUSED
    assert store.counts.kinds["read"] == 3


async def _identical_reads(client: StoreClient, store: ObjectStore) -> None:
    async with trio.open_nursery() as nursery:
        for _ in range(5):
            nursery.start_soon(client.hosts)
    assert store.counts.kinds["hosts"] == 1
    assert client.budget.figures.coalesced == 4


async def _lagging_reads(client: StoreClient, store: ObjectStore) -> None:
    await client.write("a", b"x", None)
    store.faults.update({"read_lag_s": 20.0}).unwrap()
    assert (await client.read("a")).failure().code == MISSING


async def _watch(client: StoreClient, store: ObjectStore) -> None:
    async def change() -> None:
        await trio.lowlevel.checkpoint()
        store.put("a", b"x", {})

    async with trio.open_nursery() as nursery:
        nursery.start_soon(change)
        assert (await client.watch("a", 0, 5.0)).unwrap().body == b"x"


async def _run(scenario: Scenario, tcp: bool) -> None:
    store = ObjectStore()
    fake = FakeNetwork(lambda one, other: 0.001)
    async with trio.open_nursery() as nursery:
        client_network, store_network = (
            (TcpNetwork(),) * 2 if tcp else (fake.at("host"), fake.at("127.0.0.1"))
        )
        port = await serve_platform(store, store_network, "127.0.0.1", 0, nursery)
        client = StoreClient("127.0.0.1", port, client_network, 10.0)
        await scenario(client, store)
        client.close()
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize("tcp", [False, True])
@pytest.mark.parametrize(
    "scenario",
    [
        _write_and_list,
        _large_value,
        _lost_answer,
        _unavailable_store,
        _identical_reads,
        _lagging_reads,
        _watch,
    ],
)
def test_client_and_stand_in(scenario: Scenario, tcp: bool) -> None:
    """Guards against a client that misinterprets the results of store calls."""
    if tcp:
        trio.run(_run, scenario, tcp)
    else:
        run_virtual(_run, scenario, tcp, seed=1)


@pytest.mark.parametrize("body", [{"dwon": True}, {"down": 1}, {"slow_s": True}, {"slow_s": "x"}])
def test_unknown_faults_are_refused(body: dict) -> None:
    """Guards against a misspelt or mistyped fault that is silently ignored."""
    assert not is_successful(ObjectStore().faults.update(body))
