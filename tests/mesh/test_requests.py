"""Ages and numbers of requests; answers that end with their connection or come before a body is read."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from lupinreach.mesh.backend_client import AttemptError, BackendConnection
from lupinreach.mesh.errors import AttemptFailure
from lupinreach.mesh.proxy.peers import RequestNumbers
from lupinreach.mesh.proxy.request_age import BUCKET_S, MAX_REMEMBERED_REQUESTS, LinkDelay, SeenRequests

UNFRAMED = b"HTTP/1.1 200 OK\r\nLupinreach-Request-Id: a\r\n\r\nhalf"
FRAMED = b"HTTP/1.1 200 OK\r\nLupinreach-Request-Id: a\r\nContent-Length: 4\r\n\r\nhalf"


class Transport:
    """Takes what is written and keeps so much of it unsent."""

    def __init__(self, unsent: int = 0) -> None:
        self.unsent = unsent

    def get_extra_info(self, name: str) -> Any:
        return None

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def write(self, data: bytes) -> None:
        pass

    def abort(self) -> None:
        pass


def exchange(data: bytes, end: BaseException | None | bool, unsent: int = 0) -> tuple[Any, bool]:
    """The body that an exchange gives, or how it failed; and if the connection is used again."""

    async def run() -> tuple[Any, bool]:
        connection = BackendConnection()
        connection.connection_made(Transport(unsent))  # type: ignore[arg-type]
        work = asyncio.ensure_future(connection.exchange(b"GET", b"a", False))
        await asyncio.sleep(0)
        connection.data_received(data)
        if end is not False:
            connection.connection_lost(end)  # type: ignore[arg-type]
        try:
            return (await work).body, connection.reusable
        except AttemptError as failed:
            return failed.failure, connection.reusable

    return asyncio.run(run())


def test_an_answer_without_a_length_is_whole_when_its_connection_ends() -> None:
    assert exchange(UNFRAMED, None) == (b"half", False)


def test_an_answer_without_a_length_is_not_whole_after_a_reset() -> None:
    assert exchange(UNFRAMED, ConnectionResetError()) == (AttemptFailure.BROKEN, False)


@pytest.mark.parametrize(("unsent", "reusable"), [(0, True), (4096, False)])
def test_a_connection_whose_body_is_not_sent_yet_is_not_used_again(unsent: int, reusable: bool) -> None:
    assert exchange(FRAMED, False, unsent) == (b"half", reusable)


def test_age_is_the_delay_beyond_the_shortest() -> None:
    delay = LinkDelay()
    assert delay.age_s(sent_at=50.0, now=1000.2) == 0.0  # whatever the clocks say
    assert delay.age_s(sent_at=51.0, now=1001.0) == 0.0
    assert delay.age_s(sent_at=52.0, now=1005.0) == pytest.approx(3.0)


def test_age_is_known_after_a_long_standstill_and_follows_a_drift() -> None:
    delay = LinkDelay()
    delay.age_s(sent_at=0.0, now=0.0)
    assert delay.age_s(sent_at=1.0, now=5 * BUCKET_S) == pytest.approx(5 * BUCKET_S - 1.0)
    for bucket in range(1, 4):
        now = (5 + 2 * bucket) * BUCKET_S
        age = delay.age_s(sent_at=now - 0.3 * bucket, now=now)
    assert age == pytest.approx(0.3)


def test_request_numbers_of_two_lives_differ_and_each_is_new_once() -> None:
    first, second, seen = RequestNumbers(7), RequestNumbers(8), SeenRequests()
    numbers = [first.allocate(), first.allocate(), second.allocate(), second.allocate()]
    assert [seen.is_new(number) for number in numbers + numbers] == [True] * 4 + [False] * 4
    assert all(seen.is_new(first.allocate()) for _ in range(2 * MAX_REMEMBERED_REQUESTS))
