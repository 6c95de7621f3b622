"""Streaming of bodies with bounded memory, over the in-memory network and over TCP."""

import json
import random

import pytest
import trio
from support import LATENCY_S, Answer, Fleet, exchange, read_answer, run_fleet

from dotterelstand.connection.network import TcpNetwork
from dotterelstand.process.daemon import Daemon
from dotterelstand.settings import parse_settings
from dotterelstand.standin.httpd import serve_http
from dotterelstand.standin.platform import ObjectStore
from dotterelstand.standin.target import TargetServer
from dotterelstand.version.model import section_digest

LARGE = 5_000_000
# Bytes buffered for retries, read-ahead and socket buffers on both sides, and data in transit.
MAX_IN_FLIGHT = 600_000
# Turns health probes off, as the custom targets below would answer them like requests.
NO_PROBES = "[targets]\nhealth_interval_s = 0.0\n"


def test_upload_waits_for_the_target() -> None:
    """Guards against an entry host that buffers a whole upload in memory."""

    async def scenario(fleet: Fleet) -> None:
        fleet.set_faults(stall_body_paths=["/order"])
        stream = await fleet.stream()
        sent = 0
        with trio.move_on_after(0.4):
            await stream.send_all(
                f"POST /order/1 HTTP/1.1\r\nhost: x\r\ncontent-length: {LARGE}\r\n\r\n".encode()
            )
            while sent < LARGE:
                await stream.send_all(bytes(10_000))
                sent += 10_000
        assert 100_000 < sent < MAX_IN_FLIGHT
        # A target that stops reading counts as silent: the request ends before its deadline, with
        # 3004 (TARGET_SILENT).
        answer = await read_answer(stream)
        assert (answer.code, answer.run) == (3004, "unknown")

    run_fleet(scenario)


def test_download_waits_for_the_caller() -> None:
    """Guards against an entry host that buffers a whole answer in memory."""

    async def scenario(fleet: Fleet) -> None:
        sent = 0

        async def serve(stream: trio.abc.Stream) -> None:
            nonlocal sent
            await stream.receive_some(65536)
            head = f"HTTP/1.1 200 OK\r\ncontent-length: {LARGE}\r\n\r\n"
            await stream.send_all(head.encode())
            while sent < LARGE:
                await stream.send_all(bytes(10_000))
                sent += 10_000

        async with trio.open_nursery() as nursery:
            fleet.replace_target(nursery, serve)
            stream = await fleet.stream()
            await stream.send_all(b"POST /order/1 HTTP/1.1\r\nhost: x\r\n\r\n")
            await trio.sleep(5)
            assert 100_000 < sent < MAX_IN_FLIGHT
            answer = await read_answer(stream)
            assert (answer.complete, len(answer.body)) == (True, LARGE)
            nursery.cancel_scope.cancel()

    run_fleet(scenario, targets=1, settings=NO_PROBES)


def test_caller_that_reads_nothing_is_given_up() -> None:
    """Guards against a task that blocks forever on a caller that does not read its answer."""

    async def scenario(fleet: Fleet) -> None:
        async def serve(stream: trio.abc.Stream) -> None:
            try:
                await stream.receive_some(65536)
                head = f"HTTP/1.1 200 OK\r\ncontent-length: {LARGE}\r\n\r\n"
                await stream.send_all(head.encode())
                while True:
                    await stream.send_all(bytes(10_000))
            except trio.BrokenResourceError:
                pass

        async with trio.open_nursery() as nursery:
            fleet.replace_target(nursery, serve)
            stream = await fleet.stream()
            await stream.send_all(b"POST /order/1 HTTP/1.1\r\nhost: x\r\n\r\n")
            await trio.sleep(15)
            await fleet.assert_settled()
            assert not (await read_answer(stream)).complete
            nursery.cancel_scope.cancel()

    run_fleet(scenario, targets=1, deadline_ms=5000, settings=NO_PROBES)


@pytest.mark.parametrize("answered", [True, False])
def test_leaving_is_announced_to_peers(answered: bool) -> None:
    """Guards against a graceful stop that other entry hosts notice only by missing heartbeats."""

    async def scenario(fleet: Fleet) -> None:
        if answered:
            assert (await fleet.call("GET", "/lookup/1", entry=1)).code == 1000
        fleet.daemons[1].stop()
        await trio.sleep(10 * LATENCY_S)
        members = {member.host: member.leaving for member in fleet.daemon.peers.members()}
        assert members["entry-1"]

    run_fleet(scenario, entries=2)


async def serve_over_tcp(nursery: trio.Nursery, target: TargetServer) -> Daemon:
    """Start a platform, a target and a daemon on free ports; returns once the daemon serves."""
    network, store = TcpNetwork(), ObjectStore()

    async def serve_store(stream: trio.abc.Stream) -> None:
        await serve_http(stream, store.handle)

    listener = await network.listen("127.0.0.1", 0)
    nursery.start_soon(listener.serve, serve_store, nursery)
    nursery.start_soon(target.serve, network, "127.0.0.1", 0)
    while not target.port:
        await trio.lowlevel.checkpoint()
    body = (
        '[[services.main.targets]]\nname = "t0"\naddress = "127.0.0.1"\n'
        f'port = {target.port}\nregion = "local"\navailability_zone = "local-1"\n'
        '[[routes]]\nprefix = "/"\nmethods = ["GET", "POST"]\nservice = "main"\n'
    )
    digest = section_digest(body)
    store.put(f"document/sections/{digest}", body.encode(), {})
    entry = {"digest": digest, "author": "test", "at": 0}
    manifest = {"number": 1, "write": "w", "sections": {"main": entry}}
    store.put("document/head", json.dumps(manifest).encode(), {})
    ports = "".join(f"[{section}]\nport = 0\n" for section in ("listen", "peers", "control"))
    settings = f'{ports}[store]\nurl = "http://127.0.0.1:{listener.port}"\n'
    daemon = Daemon(parse_settings(settings, "test").unwrap(), network, random.Random(1))
    nursery.start_soon(daemon.run)
    while not daemon.port:
        await trio.lowlevel.checkpoint()
    # The result is 2014 (NO_CONFIGURATION) until the document is applied.
    while (await tcp_call(daemon.port, "/lookup", b"")).code == 2014:
        pass
    return daemon


async def tcp_call(port: int, path: str, body: bytes, version: str = "1.1") -> Answer:
    """Send one request over a new TCP connection and read the answer."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    async with stream:
        if version == "1.1":
            return await exchange(stream, "POST", path, body, {})
        await stream.send_all(f"POST {path} HTTP/{version}\r\n\r\n".encode())
        answer = Answer()
        try:
            while data := await stream.receive_some(65536):
                answer.body += bytes(data)
            answer.complete = True
        except trio.BrokenResourceError:
            pass
        return answer


def test_daemon_over_tcp() -> None:
    """Guards against code that works only over the in-memory network."""

    async def main() -> None:
        target = TargetServer("t0", 2, 0.0, 1)
        async with trio.open_nursery() as nursery:
            daemon = await serve_over_tcp(nursery, target)
            body = random.Random(2).randbytes(1_000_000)
            answer = await tcp_call(daemon.port, "/order/1", body)
            assert (answer.code, answer.json()["bytes"]) == (1000, len(body))
            faults = json.dumps(
                {"truncate_paths": ["/order/cut"], "answer_bytes": 200_000}
            ).encode()
            assert (await tcp_call(target.port, "/_faults", faults)).status == 200
            for version in ("1.1", "1.0"):
                # The connection must be reset: an orderly close would complete an HTTP/1.0 answer.
                assert not (await tcp_call(daemon.port, "/order/cut", b"", version)).complete
            runs = (await tcp_call(target.port, "/_runs", b"")).json()
            paths = [run["path"] for run in runs if run["path"] != "/lookup"]
            assert paths == ["/order/1", "/order/cut", "/order/cut"]
            daemon.stop()
            nursery.cancel_scope.cancel()

    trio.run(main)
