"""TLS for callers, mutual TLS between entry hosts, and reloading of certificates."""

import ssl
from pathlib import Path

import pytest
import trio
import trio.testing
import trustme
from returns.pipeline import is_successful
from support import no_reference_cycles

from dotterelstand.connection.memorybudget import MemoryBudget
from dotterelstand.connection.network import StreamHandler
from dotterelstand.connection.target import close_now
from dotterelstand.connection.tls import (
    RELOAD_INTERVAL_S,
    CertificateContexts,
    CertificateFiles,
    Certificates,
    TlsListener,
    load_certificates,
)
from dotterelstand.process.telemetry.metrics import Metrics
from dotterelstand.standin.entryfleet import Fleet, host_settings
from dotterelstand.standin.network import FakeNetwork
from dotterelstand.standin.virtual import run_virtual

KINDS = ("caller", "peer")


def _write(folder: Path, authority: trustme.CA) -> dict[str, object]:
    """Write temporary certificates for callers and peers; returns the settings for them."""
    certificate = authority.issue_cert("10.0.0.1")
    values: dict[str, object] = {"peer_authority": str(folder / "authority.pem")}
    authority.cert_pem.write_to_path(str(folder / "authority.pem"))
    for kind in KINDS:
        for name, blob in (
            ("certificate", certificate.cert_chain_pems[0]),
            ("key", certificate.private_key_pem),
        ):
            values[f"{kind}_{name}"] = str(folder / f"{kind}-{name}.pem")
            blob.write_to_path(str(folder / f"{kind}-{name}.pem"))
    return values


def _load(values: dict[str, object]) -> Certificates:
    return load_certificates(host_settings("a", "tema/1", tls=values)).unwrap()


@pytest.mark.parametrize(
    ("key", "content"),
    [
        ("caller_certificate", None),
        ("caller_certificate", b"no certificate"),
        ("peer_key", b"no key"),
        ("peer_key", "other"),
        ("peer_authority", b"no authority"),
    ],
)
def test_wrong_files_are_refused(tmp_path: Path, key: str, content: bytes | str | None) -> None:
    """Guards against starting without the TLS that the settings require."""
    values = _write(tmp_path, trustme.CA())
    path = Path(str(values[key]))
    if content is None:
        path.unlink()
    elif content == "other":
        trustme.CA().issue_cert("10.0.0.1").private_key_pem.write_to_path(str(path))
    else:
        path.write_bytes(content)
    (error,) = load_certificates(host_settings("a", "tema/1", tls=values)).failure()
    assert error.code == 4007
    assert error.key == f"tls.{key}".replace("peer_key", "peer_certificate")


async def _mutual(certificates: Certificates, stranger: Certificates) -> None:
    async with trio.open_nursery() as nursery:
        fleet = Fleet(nursery, 3, 1)
        fleet.certificates = dict.fromkeys(fleet.hosts, certificates)
        fleet.certificates["entry-02"] = stranger
        await fleet.start_all()
        await trio.sleep(3)
        assert fleet.peers["entry-00"].linked() == ("entry-01",)
        assert fleet.peers["entry-01"].linked() == ("entry-00",)
        assert fleet.peers["entry-02"].linked() == ()
        metrics = [peers.metrics.value("tls.handshake_failures") for peers in fleet.peers.values()]
        assert all(metrics)
        nursery.cancel_scope.cancel()


def test_peers_need_a_certificate_of_the_authority(tmp_path: Path) -> None:
    """Guards against links to or from hosts with a certificate of another authority."""
    folders = [tmp_path / name for name in ("one", "other")]
    for folder in folders:
        folder.mkdir()
    one, other = (_load(_write(folder, trustme.CA())) for folder in folders)
    run_virtual(_mutual, one, other, seed=1)


async def _reload(folder: Path) -> None:
    authorities = [trustme.CA(), trustme.CA()]
    certificates = _load(_write(folder, authorities[0]))
    network = FakeNetwork(lambda one, other: 0.001)
    counters = Metrics(64)
    listening = certificates.caller_network(network.at("a"), counters)

    async def echo(stream: trio.abc.Stream) -> None:
        while data := await stream.receive_some(100):
            await stream.send_all(data)

    async def is_trusted(authority: trustme.CA) -> bool:
        context = ssl.create_default_context()
        authority.configure_trust(context)
        stream = trio.SSLStream(
            await network.at("b").connect("a", 443), context, server_hostname="10.0.0.1"
        )
        try:
            await stream.send_all(b"hello")
            return await stream.receive_some(10) == b"hello"
        except trio.BrokenResourceError:
            return False
        finally:
            close_now(stream)

    async with trio.open_nursery() as nursery:
        listener = await listening.listen("a", 443)
        nursery.start_soon(listener.serve, echo, nursery)
        nursery.start_soon(certificates.run)
        await trio.sleep(0.1)
        assert await is_trusted(authorities[0])
        (folder / "caller-certificate.pem").write_bytes(b"damaged")
        await trio.sleep(2 * RELOAD_INTERVAL_S)
        assert await is_trusted(authorities[0])
        _write(folder, authorities[1])
        await trio.sleep(2 * RELOAD_INTERVAL_S)
        assert await is_trusted(authorities[1]) and not await is_trusted(authorities[0])
        await trio.sleep(0.1)
        assert counters.value("tls.handshake_failures") == 1
        nursery.cancel_scope.cancel()


def test_certificates_are_reloaded_without_a_stop(tmp_path: Path) -> None:
    """Guards against new certificates that need a restart, and damaged ones that stop service."""
    run_virtual(_reload, tmp_path, seed=1)


def test_no_files_mean_no_tls() -> None:
    """Guards against requiring certificate files when TLS is not configured."""
    result = load_certificates(host_settings("a", "tema/1"))
    assert is_successful(result)
    network = FakeNetwork(lambda one, other: 0.0).at("a")
    assert result.unwrap().peer_network(network, Metrics(8)) is network


class _OneStream:
    """Listener of a single stream."""

    port = 0

    def __init__(self, stream: trio.abc.Stream) -> None:
        self._stream = stream

    async def serve(self, handler: StreamHandler, nursery: trio.Nursery) -> None:
        """Handle the stream."""
        nursery.start_soon(handler, self._stream)


@pytest.mark.parametrize(
    ("sent", "leaves"),
    [(b"", False), (b"x" * 100, False), (b"\x16\x03\x01\x3e\x80\x01" + b"x", True)],
)
def test_a_handshake_that_fails_leaves_no_reference_cycle(
    sent: bytes, leaves: bool, tmp_path: Path
) -> None:
    """Guards against the memory of handshakes that stays for thousands of connections."""
    values = _write(tmp_path, trustme.CA())
    contexts = CertificateContexts(
        CertificateFiles(host_settings("a", "tema/1", tls=values), "caller")
    )
    assert contexts.load() is None

    async def shake_hands() -> None:
        caller, other = trio.socket.socketpair()
        budget = MemoryBudget()
        listener = TlsListener(_OneStream(trio.SocketStream(other)), contexts, Metrics(9), budget)
        async with trio.open_nursery() as nursery:
            await listener.serve(close_now, nursery)
            await caller.send(sent)
            await trio.testing.wait_all_tasks_blocked()
            for holding in list(budget._holdings):
                holding.holder.refuse_for_memory()
            if leaves:
                caller.close()
        caller.close()
        assert budget.used_bytes == 0

    async def main() -> None:
        await shake_hands()
        with no_reference_cycles():
            await shake_hands()

    trio.run(main)
