"""Gossip between proxies: shuffles partial views and pulls newer configuration state from neighbours."""

from __future__ import annotations

import asyncio
import random

from lupinreach.mesh.configuration import is_newer
from lupinreach.mesh.link import Dialer, Link, parse_address
from lupinreach.mesh.messages import Message, PeerHello, Shuffle, Shuffled, StateUpdate, StateUpdatePull
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.proxy.partial_view import PartialView
from lupinreach.mesh.tasks import spawn

ROUND_INTERVAL_S = 4.0
ROUND_TIMEOUT_S = 1.0
PULL_DELAY_S = (
    0.5  # before a pull from a neighbour: a registry usually delivers the same state within this time
)


class Gossip:
    """Runs one exchange with one neighbour each round."""

    def __init__(self, own_address: str, configuration: ConfigurationState) -> None:
        self._own_address = own_address
        self._configuration = configuration
        self.view = PartialView(own_address, random.Random(random.getrandbits(64)))
        self._task = spawn(self._run())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(ROUND_INTERVAL_S * random.uniform(0.8, 1.2))
            round_start = self.view.begin_round()
            if round_start is not None:
                await self._exchange(*round_start)

    async def _exchange(self, partner: str, sample: list[list[object]]) -> None:
        """Shuffle with a neighbour; a neighbour that does not answer is dropped from the view."""
        finished = asyncio.Event()

        def on_message(link: Link, message: Message) -> None:
            if isinstance(message, Shuffled):
                self.view.end_round(partner, message.entries)
                pull_task = spawn(self._pull_if_behind(link, message, finished))
                self._pull_task = pull_task
            elif isinstance(message, StateUpdate):
                self._configuration.apply(message)
                finished.set()

        def on_link_up(link: Link) -> None:
            link.send(
                PeerHello(self._own_address, self._configuration.version, asyncio.get_running_loop().time())
            )
            link.send(Shuffle(sample, self._configuration.version, list(self._configuration.stamp)))

        dialer = Dialer(parse_address(partner), on_link_up, on_message, lambda link: None)
        try:
            async with asyncio.timeout(ROUND_TIMEOUT_S + PULL_DELAY_S):
                await finished.wait()
        except TimeoutError:
            pass
        finally:
            dialer.close()

    async def _pull_if_behind(self, link: Link, reply: Shuffled, finished: asyncio.Event) -> None:
        if self._is_behind(reply):
            await asyncio.sleep(PULL_DELAY_S)
        if self._is_behind(reply):
            link.send(StateUpdatePull())
        else:
            finished.set()

    def _is_behind(self, reply: Shuffled) -> bool:
        """True if the neighbour has a newer configuration or newer evacuations."""
        return is_newer(reply.config_version, self._configuration.version) or reply.evacuation_stamp > list(
            self._configuration.stamp
        )

    def answer(self, link: Link, message: Shuffle) -> None:
        """Answer a shuffle that a neighbour has started."""
        entries = self.view.answer(message.entries)
        link.send(Shuffled(entries, self._configuration.version, list(self._configuration.stamp)))
