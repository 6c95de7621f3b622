"""Entry hosts on the platform's stand-in with and without `access.strict_revocation`."""

import zlib
from typing import Any

import pytest
import trio
from platform_standin import configuration, route
from platform_support import PlatformFleet, run_on_platform

from dotterelstand.connection.codec import encode_message
from dotterelstand.connection.wire import Message, Snapshot, StoreChanges
from dotterelstand.process.discovery import objectadapter
from dotterelstand.process.discovery.platformfeed import WatchSettings
from dotterelstand.process.peering import peers
from dotterelstand.settings import Settings
from dotterelstand.version.workspace import digest_key

STRICT = "[access]\nstrict_revocation = true\n"
PROOF_WATCH = "waitMs=1"
MESSAGES = ("peers.received.ProofRequest", "peers.received.Proof")


def _keyed(version: int, *keys: str) -> Any:
    workspace = {"resourceType": "tenants", "metadata": {"name": "w"}, "spec": {"apiKeys": keys}}
    return configuration(version, route("s"), workspace)


def _proven(fleet: PlatformFleet) -> list[bool]:
    proofs = [daemon.platform_adapter.freshness for daemon in fleet.daemons]
    return [proof is not None and proof.is_proven() for proof in proofs]


def _count(fleet: PlatformFleet) -> int:
    messages = sum(daemon.metrics.value(name) for daemon in fleet.daemons for name in MESSAGES)
    return messages + sum(PROOF_WATCH in call for call in fleet.store.calls)


@pytest.mark.parametrize(
    ("settings", "keyed", "spends"),
    [("", True, False), (STRICT, False, False), (STRICT, True, True)],
)
def test_proofs_cost_nothing_unless_they_are_asked_for(
    settings: str, keyed: bool, spends: bool
) -> None:
    """Guards against messages and store calls for a deployment without strict revocation."""

    async def scenario(fleet: PlatformFleet) -> None:
        if keyed:
            fleet.store.put("config", "main", _keyed(8, "k" * 20))
        await trio.sleep(10.0)
        assert bool(_count(fleet)) is spends
        assert not any(daemon.registry.failing_checks() for daemon in fleet.daemons)

    run_on_platform(scenario, entries=3, settings=settings)


def test_hosts_are_ready_only_with_a_proof() -> None:
    """Guards against new callers at hosts that refuse all keyed requests."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put("config", "main", _keyed(8, "k" * 20))
        await trio.sleep(3.0)
        assert _proven(fleet) == [True] * 3
        fleet.store.put("config", "main", _keyed(9))
        await trio.sleep(3.0)
        assert _proven(fleet) == [True] * 3
        fleet.store.status = 503
        await trio.sleep(5.0)
        assert _proven(fleet) == [False] * 3
        assert [daemon.registry.failing_checks() for daemon in fleet.daemons] == [["proof"]] * 3
        fleet.store.status = 0
        await trio.sleep(4.0)
        assert _proven(fleet) == [True] * 3

    run_on_platform(scenario, entries=3, settings=STRICT)


@pytest.mark.parametrize(
    ("era", "peers", "proven"), [("1", 0, True), ("2", 0, False), ("2", 2, True)]
)
def test_host_that_starts_on_a_restored_store(era: str, peers: int, proven: bool) -> None:
    """Guards against a key whose removal the store lost before a host without peers started."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.era = era
        fleet.store.put("config", "main", _keyed(8, "k" * 20))
        await trio.sleep(4.0)
        fleet.start_daemon(peers)
        await trio.sleep(2.5)
        assert _proven(fleet) == [True] * peers + [proven]
        await trio.sleep(2.0)
        assert _proven(fleet) == [True] * (peers + 1)

    run_on_platform(scenario, entries=peers, settings=STRICT)


@pytest.mark.parametrize("number", [9, "unreadable"])
def test_unreadable_configuration_ends_the_proofs(number: int | str) -> None:
    """Guards against use of a removed key because the configuration without it is unreadable."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put("config", "main", _keyed(8, "k" * 20))
        await trio.sleep(3.0)
        changed = _keyed(9)
        changed["version"] = f"{number:08x}" if isinstance(number, int) else number
        fleet.store.put("config", "main", changed)
        await trio.sleep(6.0)
        assert _proven(fleet) == [isinstance(number, int)] * 3

    run_on_platform(scenario, entries=3, settings=STRICT)


def test_hosts_pass_on_no_keys(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against keys in messages between hosts, which carry the configuration."""
    key, sent = "secret-key-of-w", []

    def note(message: Message) -> bytes:
        encoded = encode_message(message)
        if isinstance(message, StoreChanges | Snapshot) and message.encoded:
            sent.append(zlib.decompress(message.encoded))
        return encoded

    monkeypatch.setattr(peers, "encode_message", note)

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put("config", "main", _keyed(8, key))
        await trio.sleep(2.0)
        fleet.start_daemon(3)
        await trio.sleep(2.0)
        for daemon in fleet.daemons:
            document = daemon.document
            assert document is not None and document.access is not None
            assert document.access.find(digest_key(key.encode())) is not None

    run_on_platform(scenario, entries=3)
    carrying = [data for data in sent if b"resources" in data]
    assert carrying and not any(key.encode() in data for data in carrying)


def test_hosts_stay_proven_beyond_the_history_of_the_store(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against proofs that end when the last change has left the history of the store."""
    watches = objectadapter._watch_settings

    def with_short_watches(settings: Settings) -> WatchSettings:
        found = watches(settings)
        found.watch_s = 10.0
        return found

    monkeypatch.setattr(objectadapter, "_watch_settings", with_short_watches)

    async def scenario(fleet: PlatformFleet) -> None:
        store, marks = fleet.store, []
        store.put("config", "main", _keyed(8, "k" * 20))
        for second in range(60):
            await trio.sleep(1.0)
            store.put("other", "x", {"second": second})
            marks.append(store.revision)
            if len(marks) > 20:
                store.oldest_revision = marks[-21]
                store.history = [item for item in store.history if item[0] > marks[-21]]
            assert second < 4 or all(_proven(fleet))

    run_on_platform(scenario, entries=3, settings=STRICT)
