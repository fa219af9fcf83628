"""Reports which backends leave, so that it outlives this process, and learns what an earlier life had reported.

The machine has no disk. So a departure is acknowledged only once the stores have recorded it, and a restarted proxy
takes no heartbeat for the truth before it knows what is recorded: one from before a departure may come seconds late.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from lupinreach.mesh.messages import DeparturesRecorded, Message, RecordDepartures
from lupinreach.mesh.tasks import spawn

REPORT_TIMEOUT_S = 0.8  # below the second of silence after which backends turn to another agent
RETRY_INTERVAL_S = 0.25  # between two questions of a restarted proxy that the stores did not answer
LINK_POLL_INTERVAL_S = 0.05  # between two such questions while no link to a registry is up
MAX_HEARTBEAT_DELAY_S = 10.0  # no heartbeat is on its way for longer


class _Question:
    """A request to all linked registries, until one confirms or all have refused."""

    def __init__(self) -> None:
        self.unanswered = 0
        self.confirmed: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def on_answer(self, recorded: bool) -> None:
        self.unanswered -= 1
        if (recorded or not self.unanswered) and not self.confirmed.done():
            self.confirmed.set_result(recorded)


class DepartureReporter:
    """Asks all linked registries at once; the first confirmation counts."""

    def __init__(
        self,
        address: str,
        send: Callable[[Message], int],
        on_recorded: Callable[[list[str]], None],
    ) -> None:
        self._address = address  # of this proxy
        self._send = send  # to all linked registries; returns their number
        self._on_recorded = on_recorded  # called with all that is recorded of this proxy
        self._recorded: set[str] = set()
        self._last_number = 0
        self._questions: dict[int, _Question] = {}  # by number
        self._linked = False  # any registry, when it was last asked
        self._learning: asyncio.Task[None] | None = None

    def learn(self, on_learned: Callable[[bool], None]) -> None:
        """Ask what is recorded until it is known, or no heartbeat can be late any more; tell `on_learned` if it is."""
        self._learning = spawn(self._learn(on_learned))

    async def _learn(self, on_learned: Callable[[bool], None]) -> None:
        confirmed = False
        try:
            async with asyncio.timeout(MAX_HEARTBEAT_DELAY_S):
                while not (confirmed := await self._ask([])):
                    await asyncio.sleep(RETRY_INTERVAL_S if self._linked else LINK_POLL_INTERVAL_S)
        except TimeoutError:
            pass  # a heartbeat that arrives from now on is a new one
        on_learned(confirmed)

    async def report(self, instance_id: str) -> bool:
        """Have a departure recorded; returns whether it is, False at once if no registry can reach the stores."""
        return instance_id in self._recorded or await self._ask([instance_id])

    async def _ask(self, instances: list[str]) -> bool:
        self._last_number += 1
        number, question = self._last_number, _Question()
        self._questions[number] = question
        try:
            question.unanswered = self._send(RecordDepartures(number, self._address, instances))
            self._linked = question.unanswered > 0
            if not self._linked:
                return False
            async with asyncio.timeout(REPORT_TIMEOUT_S):
                return await question.confirmed
        except TimeoutError:
            return False
        finally:
            del self._questions[number]

    def on_answer(self, answer: DeparturesRecorded) -> None:
        """A registry answers."""
        if answer.recorded:
            self._recorded.update(answer.instances)
            self._on_recorded(answer.instances)
        question = self._questions.get(answer.number)
        if question is not None:
            question.on_answer(answer.recorded)
