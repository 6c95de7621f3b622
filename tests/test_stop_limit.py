"""A planned stop whose process the platform ends after a time."""

import math
from collections.abc import Callable

import pytest
import trio
import trio.testing
from platform_standin import Instance
from platform_support import PlatformFleet, run_on_platform
from support import read_answer

from dotterelstand.codes import Result
from dotterelstand.request.stopplan import LAST_ANSWER_SHARE, StopPlan

# Time after the begin of a stop at which the process of these tests would be killed, and the
# longest time limit of a request (`platform_standin.route` gives 2 s unless it is changed).
STOP_LIMIT_S = 1.5
LAST_ANSWER_S = STOP_LIMIT_S * LAST_ANSWER_SHARE


@pytest.mark.parametrize(
    ("limit_s", "now", "deadline", "accepted"),
    [
        (0.0, 200.0, math.inf, True),
        (6.0, 100.0, 109.0, True),
        (6.0, 102.9, 109.0, True),
        (6.0, 103.1, 105.0, True),
        (6.0, 103.1, 106.0, False),
        (6.0, 103.1, math.inf, False),
    ],
)
def test_requests_that_may_outlast_the_process_are_refused_late_in_a_stop(
    limit_s: float, now: float, deadline: float, accepted: bool
) -> None:
    """Guards against passing on a request that the end of the process would cut off."""
    plan = StopPlan(limit_s)
    assert plan.accepts(now, deadline)
    plan.begin(100.0)
    assert plan.accepts(now, deadline) is accepted


def test_last_answers_leave_time_on_a_machine_that_runs_the_process_late() -> None:
    """Guards against the platform's kill before the last answers of a process that is held up.

    Process soak, seed 903 of `hosts_stopped_while_targets_are_slow` beside a load of 25 on 8 cores:
    processes ran up to 0.5 s late, and two requests were cut off.
    """
    plan = StopPlan(6.0)
    plan.begin(0.0)
    # Before 5 s the platform does not excuse a request that is broken off at its target.
    assert 5.0 <= plan.last_answer_s <= 5.2
    assert plan.last_answer_s < plan.last_connection_s <= 5.5


@pytest.mark.parametrize(
    ("method", "path", "sent_after_s", "code", "runs"),
    [
        ("GET", "/a/1", -0.5, Result.DEADLINE_PASSED, 1),
        ("POST", "/b/1", -0.5, Result.DEADLINE_PASSED, 1),
        ("POST", "/u/1", 0.3, Result.DEADLINE_PASSED, 1),
        ("GET", "/a/1", 0.8, Result.HOST_STOPPING, 0),
        ("POST", "/b/1", 0.8, Result.HOST_STOPPING, 0),
    ],
)
def test_every_request_is_answered_before_the_process_is_killed(
    method: str, path: str, sent_after_s: float, code: Result, runs: int
) -> None:
    """Guards against connections that a kill at the end of a planned stop closes unanswered.

    Each request could last for its whole time limit, although the platform ends the process
    before. Reported by users with time limits longer than what is left after the port closes.
    """

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:
            instance.service_time_s = 5.0
        stream = await fleet.stream()
        body = b"x" if method == "POST" else b""
        request = fleet.request(method, path, body, deadline_ms=4000)
        if sent_after_s < 0:
            await stream.send_all(request)
            await trio.sleep(-sent_after_s)
        stopped_at = trio.current_time()
        fleet.daemon.stop()
        if sent_after_s > 0:
            await trio.sleep(sent_after_s)
            await stream.send_all(request)
        with trio.fail_after(stopped_at + LAST_ANSWER_S + 0.05 - trio.current_time()):
            answer = await read_answer(stream, method)
        assert (answer.status, int(answer.headers["dotterelstand-result"])) == (
            code.http_status,
            code,
        )
        assert answer.headers["connection"] == "close"
        # A lookup may also be sent to a second target.
        assert len(set(fleet.runs())) == runs

    run_on_platform(scenario, stop_limit_s=STOP_LIMIT_S)


def test_waiting_request_is_refused_before_the_process_is_killed() -> None:
    """Guards against a request in the queue whose connection the kill closes unanswered."""

    async def scenario(fleet: PlatformFleet) -> None:
        fleet.instances[0].service_time_s = 5.0
        streams = [await fleet.stream() for _ in range(8)]
        for stream in streams:
            await stream.send_all(fleet.request("POST", "/b/1", b"x", deadline_ms=4000))
        await trio.sleep(0.3)
        fleet.daemon.stop()
        codes = []
        with trio.fail_after(LAST_ANSWER_S + 0.05):
            for stream in streams:
                answer = await read_answer(stream, "POST")
                codes.append((answer.status, int(answer.headers["dotterelstand-result"])))
        waited = [code for code in codes if code == (503, Result.HOST_STOPPING)]
        assert waited and len(waited) + len(fleet.runs()) == len(streams)

    run_on_platform(scenario, instances=1, stop_limit_s=STOP_LIMIT_S)


def test_connection_of_a_caller_that_does_not_close_ends_before_the_process_is_killed() -> None:
    """Guards against a daemon that is killed, without its last log lines, by one idle caller."""

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:
            instance.service_time_s = 5.0
        stream = await fleet.stream()
        await stream.send_all(fleet.request("POST", "/b/1", b"x", deadline_ms=4000))
        await trio.sleep(0.2)
        fleet.daemon.stop()
        await trio.sleep(STOP_LIMIT_S)
        assert fleet.daemon.frontend.open_connections == 0
        assert (await read_answer(stream, "POST")).status == 504

    run_on_platform(scenario, stop_limit_s=STOP_LIMIT_S)


@pytest.mark.parametrize(("requests", "instances"), [(1, 2), (8, 1)])
def test_process_that_is_held_up_sends_the_last_answers_before_it_closes_connections(
    requests: int, instances: int
) -> None:
    """Guards against a close without an answer by a process that runs late.

    The time of the last answers and that of the last connections had passed when it ran again.
    Process soak, seed 931 of `requests_cross_the_close` beside a load of 32 on 8 cores: two
    requests that had run and one that had not got no answer.
    """

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:
            instance.service_time_s = 5.0
        streams = [await fleet.stream() for _ in range(requests)]
        for stream in streams:
            await stream.send_all(fleet.request("POST", "/b/1", b"x", deadline_ms=4000))
        await trio.sleep(0.2)
        fleet.daemon.stop()
        await trio.sleep(LAST_ANSWER_S - 0.02)
        clock = trio.lowlevel.current_clock()
        assert isinstance(clock, trio.testing.MockClock)
        clock.jump(0.9 * STOP_LIMIT_S * (1 - LAST_ANSWER_SHARE))
        statuses = [(await read_answer(stream, "POST")).status for stream in streams]
        assert statuses.count(504) == len(fleet.runs())
        assert statuses.count(503) == requests - len(fleet.runs())

    run_on_platform(scenario, instances=instances, stop_limit_s=STOP_LIMIT_S)


@pytest.mark.parametrize("body_bytes", [60_000, 300_000])
def test_whole_answer_behind_a_slow_one_is_delivered_at_the_end_of_a_stop(body_bytes: int) -> None:
    """Guards against an answer that is ready and is cut off with the request before it.

    Answers over `MAX_UNSENT_BYTES` wait within their request for the earlier ones.
    """

    async def scenario(fleet: PlatformFleet) -> None:
        for instance in fleet.instances:
            instance.service_time_s = 5.0
        stream = await fleet.stream()
        await stream.send_all(fleet.request(deadline_ms=4000))
        await trio.sleep(0.2)
        for instance in fleet.instances:
            instance.service_time_s = 0.005
            instance.answer = _with_body(instance, body_bytes)  # type: ignore[method-assign]
        await stream.send_all(fleet.request(deadline_ms=4000))
        await trio.sleep(0.2)
        fleet.daemon.stop()
        answers = [await read_answer(stream) for _ in range(2)]
        statuses = [(answer.status, answer.complete, len(answer.body)) for answer in answers]
        assert statuses[1] == (200, True, body_bytes)

    run_on_platform(scenario, stop_limit_s=STOP_LIMIT_S)


def _with_body(instance: Instance, body_bytes: int) -> Callable[..., bytes]:
    usual = instance.answer
    return lambda headers, body=b"x" * body_bytes, **changes: usual(headers, body, **changes)


def test_caller_that_reads_nothing_does_not_hold_the_process() -> None:
    """Guards against a delivery that nothing cancels and that outlives the stop's limit.

    Two answers fill what the caller's connection holds unread, and the third becomes ready shortly
    before the end of the stop.
    """

    async def scenario(fleet: PlatformFleet) -> None:
        instance = fleet.instances[0]
        instance.answer = _with_body(instance, 60_000)  # type: ignore[method-assign]
        stream = await fleet.stream()
        for service_time_s in (0.005, 0.005, 1.3):
            instance.service_time_s = service_time_s
            await stream.send_all(fleet.request("POST", "/b/1", b"x", deadline_ms=4000))
            await trio.sleep(0.1)
        fleet.daemon.stop()
        await trio.sleep(STOP_LIMIT_S)
        assert fleet.daemon.frontend.open_connections == 0

    run_on_platform(scenario, instances=1, stop_limit_s=STOP_LIMIT_S)
