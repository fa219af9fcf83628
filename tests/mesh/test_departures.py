"""Departures of backends outlive the proxy that acknowledged them, and every other process."""

from __future__ import annotations

import asyncio
from pathlib import Path

from lupinreach.mesh.messages import DeparturesRecorded, Message, Order, RecordDepartures
from lupinreach.mesh.proxy.departure_reporter import DepartureReporter
from lupinreach.mesh.proxy.local_backend import BackendState
from lupinreach.mesh.store.document import (
    MAX_DEPARTURES_PER_PROXY,
    MAX_PROXIES_WITH_DEPARTURES,
    DepartureRecord,
    Document,
    OrderKind,
)
from mesh.world import World


def _recorded(document: Document, address: str, *instances: str) -> Document:
    payload = DepartureRecord({address: list(instances)}).pack()
    return document.apply_order(Order(1, int(OrderKind.RECORD_DEPARTURES), payload=payload))[0]


def test_document_keeps_the_newest_departures_of_each_proxy() -> None:
    first = _recorded(Document(), "s1:1", "a")
    assert first.departures == {"s1:1": ["a"]} and first.sequence == 1
    assert _recorded(first, "s1:1", "a") is first
    assert _recorded(first, "s2:1") is first  # only asks
    instances = [f"i{number}" for number in range(MAX_DEPARTURES_PER_PROXY)]
    document = _recorded(first, "s1:1", *instances)
    assert document.departures == {"s1:1": instances}
    for number in range(2, MAX_PROXIES_WITH_DEPARTURES + 1):
        document = _recorded(document, f"s{number}:1", "a")
    assert document.departures["s1:1"] == instances
    document = _recorded(document, "another:1", "a")
    assert "s1:1" not in document.departures
    assert len(document.departures) == MAX_PROXIES_WITH_DEPARTURES


def test_document_is_sent_without_departures_that_the_receiver_holds() -> None:
    held = _recorded(Document(1, "00000001", b"{}"), "s1:1", "a")
    for changed in (
        _recorded(held, "s1:1", "b"),
        Document(3, "00000002", b"{ }", departures=held.departures),
    ):
        assert Document.from_list(changed.to_list(held), held) == changed
        assert Document.from_list(changed.to_list()) == changed
    assert Document.from_list([7, "00000001", b"{}", {}, 2]).departures == {}  # of a store before 0.3.0


# Guards against a departure that waits for its deadline although all registries have refused it, and against one that
# is acknowledged though none has confirmed it.
def test_report_ends_with_the_first_confirmation_or_the_last_refusal(tmp_path: Path) -> None:
    world = World(tmp_path)
    recorded: list[str] = []
    sent: list[Message] = []

    def send(message: Message) -> int:
        sent.append(message)
        return links

    async def play(instance: str, *answers: bool) -> tuple[bool, float]:
        started_at = world.now
        report = world.loop.create_task(reporter.report(instance))
        for answer in answers:
            await asyncio.sleep(0.1)
            number = sent[-1].number if isinstance(sent[-1], RecordDepartures) else 0
            reporter.on_answer(DeparturesRecorded(number, answer, [instance] if answer else []))
        return await report, round(world.now - started_at, 2)

    try:
        reporter = DepartureReporter("s1:1", send, recorded.extend)
        links = 0
        assert world.loop.run_until_complete(play("a")) == (False, 0.0)
        links = 2
        assert world.loop.run_until_complete(play("a", False, False)) == (False, 0.2)
        assert world.loop.run_until_complete(play("a", False)) == (False, 0.8)
        assert recorded == []
        assert world.loop.run_until_complete(play("a", False, True)) == (True, 0.2)
        assert recorded == ["a"]
        links = 0
        assert world.loop.run_until_complete(play("a")) == (True, 0.0)  # it is recorded
    finally:
        world.end()


# Guards against a sign-off that is forgotten because the registries restart one after the other before the proxy does.
def test_departure_survives_restarts_of_all_registries_in_turn(tmp_path: Path) -> None:
    world = World(tmp_path)
    try:
        world.start_small()
        assert world.loop.run_until_complete(world.replace_configuration("c1", "00000001")) == 200
        world.run_until(5.0)
        world.backends["s1"].beating = 0
        late = world.loop.create_task(world.send_heartbeat("s1", "s1", late_s=30.0))
        assert world.loop.run_until_complete(world.sign_off("s1", "s1")) == 200
        world.kill("s1")
        for host in world.cores:
            world.kill(host)
            world.run_until(world.now + 1.0)
            world.start(host)
            world.run_until(world.now + 6.0)
        world.start("s1", with_backend=False)
        world.run_until(world.now + 3.0)
        assert world.loop.run_until_complete(late) == 200
        assert world.programs[("s1", "proxy")].backend.state is BackendState.DRAINING
    finally:
        world.end()
