"""Request ages and numbers; responses delimited by the end of the connection or sent before the body is read."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from lupinreach.mesh.backend_client import AttemptError, BackendConnection
from lupinreach.mesh.errors import AttemptFailure
from lupinreach.mesh.proxy.peers import RequestNumbers
from lupinreach.mesh.proxy.request_age import BUCKET_S, MAX_REMEMBERED_REQUESTS, LinkDelay, SeenRequests
from lupinreach.mesh.reader import MessageReader

WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nLupinreach-Request-Id: a\r\n\r\nhalf"
WITH_LENGTH = b"HTTP/1.1 200 OK\r\nLupinreach-Request-Id: a\r\nContent-Length: 4\r\n\r\nhalf"


class FakeTransport:
    """Discards what is written and reports a fixed number of unsent bytes."""

    def __init__(self, unsent_bytes: int = 0) -> None:
        self.unsent_bytes = unsent_bytes

    def get_extra_info(self, name: str) -> Any:
        return None

    def get_write_buffer_size(self) -> int:
        return self.unsent_bytes

    def write(self, data: bytes) -> None:
        pass

    def abort(self) -> None:
        pass


def exchange(
    data: bytes, close_reason: BaseException | None | bool, unsent_bytes: int = 0
) -> tuple[Any, bool]:
    """Return the response body or the failure of an exchange, and whether the connection is reusable."""

    async def run() -> tuple[Any, bool]:
        connection = BackendConnection()
        connection.connection_made(FakeTransport(unsent_bytes))  # type: ignore[arg-type]
        work = asyncio.ensure_future(connection.exchange(b"GET", b"a", False))
        await asyncio.sleep(0)
        connection.data_received(data)
        if close_reason is not False:
            connection.connection_lost(close_reason)  # type: ignore[arg-type]
        try:
            return (await work).body, connection.reusable
        except AttemptError as error:
            return error.failure, connection.reusable

    return asyncio.run(run())


def test_response_without_length_is_complete_at_end_of_connection() -> None:
    assert exchange(WITHOUT_LENGTH, None) == (b"half", False)


def test_response_without_length_is_broken_by_a_reset() -> None:
    assert exchange(WITHOUT_LENGTH, ConnectionResetError()) == (AttemptFailure.BROKEN, False)


@pytest.mark.parametrize(("unsent_bytes", "reusable"), [(0, True), (4096, False)])
def test_connection_with_unsent_request_body_is_not_reused(unsent_bytes: int, reusable: bool) -> None:
    assert exchange(WITH_LENGTH, False, unsent_bytes) == (b"half", reusable)


# Guards against a response to HEAD that is waited for until the timeout, as its head announces chunks that never come.
def test_response_without_a_body_is_complete_whatever_its_head_announces() -> None:
    for framing in (b"Transfer-Encoding: chunked", b"Content-Length: 7"):
        reader = MessageReader(responses=True, body_limit=100)
        reader.without_body = True
        reader.feed(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\n\r\n")
        whole = reader.next()
        assert whole is not None and whole.body == b""


def test_age_is_the_delay_beyond_the_shortest_one() -> None:
    delay = LinkDelay()
    assert delay.age_s(sent_at=50.0, now=1000.2) == 0.0  # the offset between the clocks does not count
    assert delay.age_s(sent_at=51.0, now=1001.0) == 0.0
    assert delay.age_s(sent_at=52.0, now=1005.0) == pytest.approx(3.0)


def test_age_after_a_long_pause_and_under_clock_drift() -> None:
    delay = LinkDelay()
    delay.age_s(sent_at=0.0, now=0.0)
    assert delay.age_s(sent_at=1.0, now=5 * BUCKET_S) == pytest.approx(5 * BUCKET_S - 1.0)
    for bucket in range(1, 4):
        now = (5 + 2 * bucket) * BUCKET_S
        age = delay.age_s(sent_at=now - 0.3 * bucket, now=now)
    assert age == pytest.approx(0.3)


def test_request_numbers_are_unique_over_incarnations() -> None:
    first, second, seen_requests = RequestNumbers(7), RequestNumbers(8), SeenRequests()
    numbers = [first.allocate(), first.allocate(), second.allocate(), second.allocate()]
    assert [seen_requests.is_new(number) for number in numbers + numbers] == [True] * 4 + [False] * 4
    assert all(seen_requests.is_new(first.allocate()) for _ in range(2 * MAX_REMEMBERED_REQUESTS))
