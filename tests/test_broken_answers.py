"""Answers of targets that are not valid, or that break off at an unusual point."""

import ssl
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio
import trustme
from platform_standin import EndlessAnswer, Instance
from platform_support import SETTINGS, PlatformFleet, run_on_platform
from support import CALLER, PLATFORM, Answer, entry_address, read_answer

from dotterelstand.codes import Result
from dotterelstand.connection.tls import load_certificates
from dotterelstand.process.daemon import Daemon
from dotterelstand.settings import parse_settings
from dotterelstand.standin.virtual import seeded_random

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Dotterelstand-Server-Signature: 3e1b.07\r\n"
    b"X-Dotterelstand-Request-Id: %s\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
SHORT, LONG = b"x" * 100, b"x" * 100_000
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
# Beginnings of answers, behind which their connection is reset.
BROKEN = {
    "no length, short": HEAD + b"\r\n" + SHORT,
    "no length, long": HEAD + b"\r\n" + LONG,
    "interim": INTERIM + HEAD + b"\r\n" + LONG,
    "interim broken off": b"HTTP/1.1 103 Early Hints\r\nLin",
    "malformed interim": b"HTTP/1.1 103 Early Hints\r\nno colon\r\n\r\n" + HEAD + b"\r\n" + LONG,
    "interim with a body": INTERIM + SHORT + HEAD + b"\r\n" + LONG,
    "switching protocols": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n" + HEAD + b"\r\n" + LONG,
    "trailer, short": CHUNKED + b"1\r\nx\r\n0\r\nX-Sum: 1",
    "trailer, long": CHUNKED + b"186a0\r\n" + LONG + b"\r\n0\r\nX-Sum: 1\r\n",
    "malformed trailer": CHUNKED + b"186a0\r\n" + LONG + b"\r\n0\r\nno colon\r\n\r\n",
}


class BrokenAnswer(EndlessAnswer):
    """An answer behind whose beginning the connection is reset."""

    async def send(self, stream) -> None:  # type: ignore[no-untyped-def]
        """Send the beginning, then reset the connection."""
        await stream.send_all(self.beginning)
        await trio.sleep(0.3)
        stream.reset()
        raise trio.BrokenResourceError


def _break_answers(fleet: PlatformFleet, beginning: bytes) -> None:
    def answer(headers: dict[str, str], usual=fleet.instances[0].answer):  # type: ignore[no-untyped-def]
        request_id = headers.get("x-dotterelstand-request-id", "").encode()
        if not request_id:
            # A health check.
            return usual(headers)
        return BrokenAnswer(beginning.replace(b"%s", request_id), b"", 0.0)

    for instance in fleet.instances:
        instance.answer = answer  # type: ignore[assignment, method-assign]


async def _lookup(fleet: PlatformFleet) -> Answer:
    return await fleet.call(deadline_ms=2000)


async def _hedged(fleet: PlatformFleet) -> Answer:
    """Send a lookup whose first attempt is slow, so that both attempts are at work."""
    broken = [instance.answer for instance in fleet.instances]
    for instance in fleet.instances:
        instance.answer = Instance.answer.__get__(instance)  # type: ignore[method-assign]
        instance.service_time_s = 0.05
    for number in range(30):
        await fleet.call(path=f"/a/{number}")
    for instance, answer in zip(fleet.instances, broken, strict=True):
        instance.answers = [answer]
        instance.service_time_s = 0.3
        instance.runs.clear()

    async def slow_down() -> None:
        await trio.sleep(0.02)
        for instance in fleet.instances:
            if instance.runs:
                # Reported by its health checks, which makes the daemon ask another instance.
                instance.service_time_percent = 400

    fleet.nursery.start_soon(slow_down)
    received = await fleet.call(deadline_ms=2000)
    assert fleet.daemon.metrics.value("requests.hedges")
    return received


async def _unfinished_upload(fleet: PlatformFleet) -> Answer:
    """Send an upload of which only a part of a chunk's head arrives before the answer."""
    for instance in fleet.instances:
        instance.answers_early = True
    stream = await fleet.stream()
    head = fleet.request("POST", "/u/1", deadline_ms=2000).replace(
        b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    await stream.send_all(head + b"5\r\nabcde\r\n1")
    return await read_answer(stream, "POST")


SENDERS: list[Callable[[PlatformFleet], Awaitable[Answer]]] = [
    _lookup,
    _hedged,
    _unfinished_upload,
]


@pytest.mark.parametrize("send", SENDERS)
@pytest.mark.parametrize("kind", BROKEN)
def test_an_answer_that_is_reset_is_never_complete(
    kind: str, send: Callable[[PlatformFleet], Awaitable[Answer]]
) -> None:
    """Guards against a caller that takes the beginning of an answer for the whole of it."""

    async def scenario(fleet: PlatformFleet) -> None:
        _break_answers(fleet, BROKEN[kind])
        answer = await send(fleet)
        assert answer.status in (0, 200, 502, 504)
        assert answer.status != 200 or not answer.complete

    run_on_platform(
        scenario,
        health_interval_s=0.05 if send is _hedged else 0.0,
        # Else an upload in chunks is received before it is sent on.
        held_body_bytes=0 if send is _unfinished_upload else 524288,
    )


@pytest.mark.parametrize("kind", ["no length, short", "no length, long", "trailer, long"])
def test_a_caller_over_tls_sees_that_an_answer_is_reset(kind: str, tmp_path: Path) -> None:
    """Guards against an end of TLS that a caller takes for the end of the answer."""
    authority = trustme.CA()
    certificate = authority.issue_cert("10.0.0.1")
    files = {"certificate": certificate.cert_chain_pems[0], "key": certificate.private_key_pem}
    tls = "[tls]\n"
    for name, blob in files.items():
        blob.write_to_path(str(tmp_path / name))
        tls += f'caller_{name} = "{tmp_path / name}"\n'
    client = ssl.create_default_context()
    authority.configure_trust(client)

    async def scenario(fleet: PlatformFleet) -> None:
        address = entry_address(1)
        values = {
            "index": 1,
            "address": address,
            "platform": PLATFORM,
            "memory_mb": 0,
            "quota": "false",
            "held_body_bytes": 524288,
        }
        text = SETTINGS.format(**values, health_interval_s=0.0, stop_limit_s=0.0)
        settings = parse_settings(text + tls, "test").unwrap()
        certificates = load_certificates(settings).unwrap()
        network, rng = fleet.network.at(address), seeded_random(1, "tls")
        fleet.nursery.start_soon(Daemon(settings, network, rng, certificates).run)
        await trio.sleep(2.0)
        _break_answers(fleet, BROKEN[kind])
        transport = await fleet.network.open_stream(CALLER, address, 8080)
        stream = trio.SSLStream(
            transport, client, server_hostname="10.0.0.1", https_compatible=True
        )
        await stream.send_all(fleet.request(deadline_ms=2000))
        answer = await read_answer(stream)
        assert answer.status != 200 or not answer.complete

    run_on_platform(scenario)


@pytest.mark.parametrize("status", ["600 Odd", "999 Odd", "599 Last", "200 OK"])
@pytest.mark.parametrize("path", ["/a/1", "/u/1"])
def test_a_status_beyond_599_is_not_passed_on(status: str, path: str) -> None:
    """Guards against an answer whose status no caller can understand."""

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:
            instance.answers = [
                lambda headers, item=instance: item.answer(headers, status=status)
            ] * 2
        answer = await fleet.call("POST", path, b"x")
        if int(status[:3]) <= 599:
            assert answer.status == int(status[:3])
        else:
            code = answer.headers["dotterelstand-result"]
            assert (answer.status, int(code)) == (502, Result.BAD_ANSWER)

    run_on_platform(scenario)
