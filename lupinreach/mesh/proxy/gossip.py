"""Shuffling of partial views, and configuration news between neighbours."""

from __future__ import annotations

import asyncio
import random

from lupinreach.mesh.configuration import is_newer
from lupinreach.mesh.link import Dialer, Link, parse_address
from lupinreach.mesh.messages import Message, News, NewsPull, PeerHello, Shuffle, Shuffled
from lupinreach.mesh.proxy.configuration_state import ConfigurationState
from lupinreach.mesh.proxy.partial_view import PartialView
from lupinreach.mesh.tasks import spawn

ROUND_S = 4.0
ROUND_TIMEOUT_S = 1.0
PATIENCE_S = 0.5  # what a neighbour has, a registry usually tells within this: only then it is pulled


class Gossip:
    """One exchange with one neighbour each round."""

    def __init__(self, own_address: str, configuration: ConfigurationState) -> None:
        self._own = own_address
        self._configuration = configuration
        self.view = PartialView(own_address, random.Random(random.getrandbits(64)))
        self._task = spawn(self._run())

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(ROUND_S * random.uniform(0.8, 1.2))
            begun = self.view.begin_round()
            if begun is not None:
                await self._exchange(*begun)

    async def _exchange(self, partner: str, sample: list[list[object]]) -> None:
        """Shuffle with a neighbour; it stays out of the view where it does not answer."""
        done = asyncio.Event()

        def on_message(link: Link, message: Message) -> None:
            if isinstance(message, Shuffled):
                self.view.end_round(partner, message.entries)
                asking = spawn(self._pull_if_behind(link, message, done))
                self._asking = asking
            elif isinstance(message, News):
                self._configuration.apply(message)
                done.set()

        def on_up(link: Link) -> None:
            link.send(PeerHello(self._own, self._configuration.version, asyncio.get_running_loop().time()))
            link.send(Shuffle(sample, self._configuration.version, list(self._configuration.stamp)))

        dialer = Dialer(parse_address(partner), on_up, on_message, lambda link: None)
        try:
            async with asyncio.timeout(ROUND_TIMEOUT_S + PATIENCE_S):
                await done.wait()
        except TimeoutError:
            pass
        finally:
            dialer.close()

    async def _pull_if_behind(self, link: Link, told: Shuffled, done: asyncio.Event) -> None:
        if self._is_behind(told):
            await asyncio.sleep(PATIENCE_S)
        if self._is_behind(told):
            link.send(NewsPull())
        else:
            done.set()

    def _is_behind(self, told: Shuffled) -> bool:
        """If the neighbour holds anything newer."""
        return is_newer(told.config_version, self._configuration.version) or told.evacuation_stamp > list(
            self._configuration.stamp
        )

    def answer(self, link: Link, message: Shuffle) -> None:
        """A neighbour shuffles with this proxy."""
        entries = self.view.answer(message.entries)
        link.send(Shuffled(entries, self._configuration.version, list(self._configuration.stamp)))
