"""Requests through daemons on the platform's stand-in, under faults of targets and store."""

import pytest
import trio
from platform_standin import configuration, route
from platform_support import PlatformFleet, run_on_platform
from support import read_answer
from support_logs import EventCollector

from dotterelstand.connection.pool import TargetPool
from dotterelstand.events import Event


def test_a_lookup_reaches_its_target_with_identity_and_deadline() -> None:
    """Guards against requests without target identity, id or deadline."""

    async def scenario(fleet: PlatformFleet) -> None:
        answer = await fleet.call()
        assert (answer.status, answer.body, answer.complete) == (200, b"whole body", True)
        assert answer.headers["x-dotterelstand-server-signature"] == "3e1b.07"
        instance = next(item for item in fleet.instances if item.runs)
        (headers,) = instance.requests
        assert headers["x-dotterelstand-request-id"] == "q1"
        assert headers["x-dotterelstand-target-instance"] == instance.name
        assert 900 < int(headers["x-dotterelstand-deadline-ms"]) <= 1000

    run_on_platform(scenario)


DAMAGED_ANSWERS = [
    {"X_Dotterelstand_Server_Signature": ""},
    {"Content_Encoding": "gzip"},
    {"X_Dotterelstand_Request_Id": "another"},
    {"Content_Length": "4000"},
]


@pytest.mark.parametrize("changes", DAMAGED_ANSWERS)
def test_a_damaged_success_is_not_relayed(changes: dict[str, str]) -> None:
    """Guards against relaying an unsigned, encoded or incomplete success, or another request's."""

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:

            def answer(headers: dict[str, str], instance=instance) -> bytes:  # type: ignore[no-untyped-def]
                return instance.answer(headers, **changes)

            instance.answers = [answer] * 3
        unsafe = await fleet.call("POST", "/b/1", b"order")
        assert unsafe.status in (502, 504)
        assert len(fleet.runs()) == 1

    run_on_platform(scenario)


@pytest.mark.parametrize("names_itself", [True, False])
def test_a_late_answer_to_another_request_is_skipped(names_itself: bool) -> None:
    """Guards against relaying a late answer to an earlier request, and against failing on it.

    A request without an id cannot get an answer with one.
    """

    async def scenario(fleet: PlatformFleet) -> None:
        instance = fleet.instances[0]
        instance.answers = [
            lambda headers: instance.answer({"x-dotterelstand-request-id": "old"}, b"stray")
            + instance.answer(headers)
        ]
        request = fleet.request("POST", "/b/1", b"order")
        if not names_itself:
            request = request.replace(b"X-Dotterelstand-Request-Id: q1\r\n", b"")
        stream = await fleet.stream()
        await stream.send_all(request)
        answer = await read_answer(stream, "POST")
        assert (answer.status, answer.body) == (200, b"whole body")

    run_on_platform(scenario, instances=1)


@pytest.mark.parametrize("framed", [True, False])
def test_an_answer_may_end_with_its_connection(framed: bool) -> None:
    """Guards against rejecting a complete answer after which the target closes the connection."""

    async def scenario(fleet: PlatformFleet) -> None:
        instance = fleet.instances[0]
        changes = {} if framed else {"Content_Length": "", "Connection": "close"}

        async def serve(stream: trio.abc.Stream) -> None:
            data = bytes(await stream.receive_some(65536)).decode()
            lines = data.split("\r\n")
            name = next(line for line in lines if line.lower().startswith("x-dotterelstand-req"))
            headers = {"x-dotterelstand-request-id": name.partition(": ")[2]}
            await stream.send_all(instance.answer(headers, **changes))
            await stream.aclose()

        fleet.network.crash("10.1.0.0")
        listener = fleet.network.add_listener("10.1.0.0", 80)
        fleet.nursery.start_soon(listener.serve, serve, fleet.nursery)
        answer = await fleet.call("POST", "/b/1", b"order")
        assert (answer.status, answer.body, answer.complete) == (200, b"whole body", True)

    run_on_platform(scenario, instances=1)


REJECTIONS = [
    ("503 Service Unavailable", {"X_Dotterelstand_Not_Executed": "1"}, True),
    ("429 Too Many Requests", {"X_Dotterelstand_Not_Executed": "1"}, True),
    ("421 Misdirected Request", {}, True),
    ("503 Service Unavailable", {}, False),
    ("500 Internal Server Error", {}, False),
]


@pytest.mark.parametrize(("status", "changes", "is_retried"), REJECTIONS)
def test_an_unsafe_request_is_retried_only_if_it_did_not_run(
    status: str, changes: dict[str, str], is_retried: bool
) -> None:
    """Guards against running an unsafe request twice, and against losing one that did not run."""

    async def scenario(fleet: PlatformFleet) -> None:
        def refuse(headers: dict[str, str]) -> bytes:
            return fleet.instances[0].answer(headers, b"", status=status, **changes)

        refuse.runs = not is_retried  # type: ignore[attr-defined]
        first = refuse
        sent = 0
        for instance in fleet.instances:

            def answer(headers: dict[str, str], instance=instance) -> bytes:  # type: ignore[no-untyped-def]
                nonlocal sent
                sent += 1
                return first(headers) if sent == 1 else instance.answer(headers)

            instance.answers = [answer] * 3
        result = await fleet.call("POST", "/b/1", b"order")
        assert sent == (2 if is_retried else 1)
        if is_retried:
            assert result.status == 200
        else:
            assert result.status in (500, 502), "the status says that the request did not run"

    run_on_platform(scenario)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_late_refusal_of_a_health_check_is_not_taken_for_the_answer(method: str) -> None:
    """Guards against an order that runs twice, or is refused as not run and runs.

    A late extra answer to a rejected health check came where the answer to the order was due. It
    has no request id, as the health check had none, and says that nothing was run.
    """

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:

            def answer(headers: dict[str, str], instance=instance) -> bytes:  # type: ignore[no-untyped-def]
                refusal = {"status": "503 Full", "X_Dotterelstand_Not_Executed": "1"}
                refused = instance.answer({}, b"", X_Dotterelstand_Request_Id="", **refusal)
                return refused + instance.answer(headers)

            instance.answers = [answer] * 3
        result = await fleet.call(method, "/b/1" if method == "POST" else "/a/1")
        assert (result.status, result.body) == (200, b"whole body")
        assert len(fleet.runs()) == 1

    run_on_platform(scenario)


# Status, request id and body of an answer that does not belong to the request.
LATE_ANSWERS = [
    ("503 Full", "", b""),
    ("503 Full", "other-1", b"busy"),
    ("421 Misdirected", "", b""),
    ("421 Misdirected", "other-1", b"elsewhere"),
    ("200 OK", "", b"not this one"),
    ("200 OK", "other-1", b"not this one"),
    ("204 No Content", "other-1", b""),
    ("304 Not Modified", "", b""),
    ("404 Not Found", "other-1", b"nothing"),
]


@pytest.mark.parametrize("late", LATE_ANSWERS)
@pytest.mark.parametrize(
    "interim", [b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"], ids=["final", "interim"]
)
@pytest.mark.parametrize(
    ("method", "path", "body"),
    [("GET", "/a/1", b""), ("POST", "/b/1", b"order"), ("POST", "/u/1", bytes(200_000))],
)
def test_late_answer_to_another_request_decides_nothing(
    late: tuple[str, str, bytes], interim: bytes, method: str, path: str, body: bytes
) -> None:
    """Guards against a second attempt, or a promise that nothing ran, because of a late answer."""
    status, request_id, late_body = late

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:

            def answer(headers: dict[str, str], instance=instance) -> bytes:  # type: ignore[no-untyped-def]
                changes = {"status": status, "X_Dotterelstand_Request_Id": request_id}
                if status == "503 Full":
                    changes["X_Dotterelstand_Not_Executed"] = "1"
                if status[:3] in ("204", "304"):
                    changes["Content_Length"] = ""
                other = instance.answer({}, late_body, **changes)
                return interim + other + interim + instance.answer(headers)

            instance.answers = [answer] * 3
        result = await fleet.call(method, path, body)
        assert (result.status, result.body) == (200, b"whole body")
        assert len(fleet.runs()) == 1

    run_on_platform(scenario)


def test_pipelined_lookups_overlap_and_keep_their_order() -> None:
    """Guards against pipelined requests run one after another, and answers out of order."""

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:
            instance.service_time_s = 0.2
        stream = await fleet.stream()
        start_s = trio.current_time()
        await stream.send_all(b"".join(fleet.request(path=f"/a/{n}") for n in range(3)))
        answers = b""
        while answers.count(b"whole body") < 3:
            answers += bytes(await stream.receive_some(65536))
        assert trio.current_time() - start_s < 0.5
        positions = [answers.index(f"q{n}\r".encode()) for n in (1, 2, 3)]
        assert positions == sorted(positions)

    run_on_platform(scenario)


def test_an_answer_that_waits_for_its_turn_outlives_its_deadline() -> None:
    """Guards against a connection reset when a pipelined answer waits past its own deadline."""

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:
            instance.service_time_s = 0.05
            instance.answers = []
        slow = fleet.request(path="/a/slow", deadline_ms=2000)
        quick = fleet.request(path="/a/quick", deadline_ms=200)
        stream = await fleet.stream()
        for instance in fleet.instances:
            instance.service_time_s = 0.6
        await stream.send_all(slow)
        await trio.sleep(0.01)
        for instance in fleet.instances:
            instance.service_time_s = 0.05
        await stream.send_all(quick)
        answers = b""
        while answers.count(b"whole body") < 2:
            data = bytes(await stream.receive_some(65536))
            assert data, "the connection ended without both answers"
            answers += data

    run_on_platform(scenario)


def test_the_routes_time_limit_ends_a_request() -> None:
    """Guards against a request that runs longer than its route's timeout."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.put("config", "main", configuration(9, route("s", timeoutS=0.4)))
        await trio.sleep(1.0)
        for instance in fleet.instances:
            instance.service_time_s = 5.0
        start_s = trio.current_time()
        answer = await fleet.call(deadline_ms=3000)
        assert answer.status == 504
        assert trio.current_time() - start_s < 0.5

    run_on_platform(scenario)


def test_a_split_divides_requests_by_weight() -> None:
    """Guards against traffic splits that ignore their weights."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.register(2, service="t")
        parts = [{"service": "s", "weight": 75}, {"service": "t", "weight": 25}]
        changed = route("s", trafficSplit=parts)
        fleet.store.put("config", "main", configuration(9, changed, services=("s", "t")))
        await trio.sleep(1.5)
        for _ in range(40):
            assert (await fleet.call()).status == 200
        assert len(fleet.instances[2].runs) == 10

    run_on_platform(scenario)


def test_a_draining_target_gets_no_new_work() -> None:
    """Guards against requests to targets that are draining or removed in the store."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.register(0, state="draining")
        fleet.store.remove("servers", "i-1")
        await trio.sleep(1.0)
        for _ in range(20):
            assert (await fleet.call()).status == 200
        assert not fleet.instances[0].runs and not fleet.instances[1].runs

    run_on_platform(scenario)


@pytest.mark.parametrize("fault", ["down", "silent", "history"])
def test_a_configuration_is_in_force_soon_after_the_store_is_back(fault: str) -> None:
    """Guards against a host that keeps an old configuration after a fault of the store."""

    async def scenario(fleet: PlatformFleet) -> None:
        if fault == "history":
            fleet.store.put("config", "main", configuration(9, route("s", "/c/")))
            fleet.store.forget_history()
        else:
            fleet.store.status = 503 if fault == "down" else 0
            fleet.store.silent = fault == "silent"
            fleet.store.forget_history()
            await trio.sleep(8.0)
            fleet.store.put("config", "main", configuration(9, route("s", "/c/")))
            fleet.store.status, fleet.store.silent = 0, False
        await trio.sleep(2.0)
        assert (await fleet.call(path="/c/1")).status == 200
        assert (await fleet.call(path="/a/1")).status == 404

    run_on_platform(scenario)


def test_a_host_without_a_configuration_refuses_and_is_not_ready() -> None:
    """Guards against a host without a configuration that answers 404 or reports itself ready."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.store.status = 503
        fleet.start_daemon(1)
        await trio.sleep(3.0)
        answer = await fleet.call(entry=1)
        assert (answer.status, answer.run) == (503, "not-run")
        stream = await fleet.network.open_stream("10.0.0.1", "10.0.1.1", 8071)
        await stream.send_all(b"GET /dotterelstand/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await read_answer(stream)).status == 503

    run_on_platform(scenario)


def test_targets_that_cannot_be_reached_do_not_use_up_the_attempts() -> None:
    """Guards against a failed request while one of three targets can be reached."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.network.crash("10.1.0.0")
        fleet.network.crash("10.1.0.1")
        for _ in range(6):
            answer = await fleet.call("POST", "/b/1", b"order")
            assert answer.status == 200
        assert len(fleet.runs()) == 6

    run_on_platform(scenario)


def test_a_lookup_is_hedged_when_its_target_turns_slow() -> None:
    """Guards against waiting for a target whose load report says that it is slow."""

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:
            instance.service_time_s = 0.05
        for number in range(30):
            await fleet.call(path=f"/a/{number}")
        for instance in fleet.instances:
            instance.runs.clear()
            instance.service_time_s = 5.0
        start_s = trio.current_time()

        async def slow_down() -> None:
            await trio.sleep(0.02)
            for instance in fleet.instances:
                instance.service_time_s = 0.05
                if instance.runs:
                    instance.service_time_percent = 400

        fleet.nursery.start_soon(slow_down)
        answer = await fleet.call(path="/a/hedged", deadline_ms=1000)
        assert answer.status == 200
        assert trio.current_time() - start_s < 0.25
        assert len(fleet.runs()) == 2

    run_on_platform(scenario, health_interval_s=0.05)


def test_a_health_probe_that_fails_unexpectedly_leaves_the_daemon_running(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a daemon that ends since a target's health answer has an unforeseen effect."""

    async def acquire(*_: object) -> None:
        raise KeyError("connection")

    async def scenario(fleet: PlatformFleet) -> None:
        assert (await fleet.call()).status == 200
        monkeypatch.setattr(TargetPool, "acquire", acquire)
        await trio.sleep(1.0)
        monkeypatch.undo()
        await trio.sleep(5.0)
        assert (await fleet.call()).status == 200

    with EventCollector() as lines:
        run_on_platform(scenario, health_interval_s=0.1)
    faults = lines.lines_of(Event.INVARIANT_BROKEN)
    assert {line["name"] for line in faults} == {"health probe"}
    assert {line["target"] for line in faults} <= {"i-0", "i-1", "i-2"}
