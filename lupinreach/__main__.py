"""Entry point of the agent on sockets: start, signal handling and exit."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from lupinreach.balance import Balancer
from lupinreach.config import BadConfig, read_agent
from lupinreach.net.agent import Agent, BalancerFactory
from lupinreach.net.clock import Clock

OPERATOR_ENDPOINT_DESCRIPTORS = 18  # reserved for the operator endpoint, if configured
DIRECTORY_WAIT_S = 1.5  # how long a new process waits for the directory while the old one serves
GC_THRESHOLD = 2000  # new objects until a collection; some hundred API calls in progress


async def run(agent: Agent) -> None:
    """Run the agent until a signal has stopped it."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGUSR1, agent.report)
    loop.add_signal_handler(signal.SIGHUP, agent.reload, os.environ)
    loop.set_exception_handler(
        lambda _, context: agent.tasks.fault(
            str(context.get("message")), context.get("exception") or RuntimeError("no exception given")
        )
    )
    logging.getLogger().addHandler(agent.log)
    operator_endpoint = None
    if agent.config.mgmt is not None:
        from lupinreach.ops.operator_endpoint import OperatorEndpoint  # not loaded unless configured

        operator_endpoint = OperatorEndpoint(agent, agent.config.mgmt)
        operator_endpoint.open()  # before the agent starts: until then `/_ready` answers no
    succession = None
    if agent.config.inherited is not None:
        from lupinreach.ops.succession import Succession  # not loaded unless needed

        succession = Succession(os.environ.get("TMPDIR"), agent.config.name)
    carry = None
    if agent.config.store is not None:
        from lupinreach.ops.persistence import restore_state  # not loaded unless needed

        carry = restore_state(agent)
    await agent.start(DIRECTORY_WAIT_S if succession and succession.other() else 0.0)
    if succession is not None and not succession.take_over():
        agent.log.event("no succession", why="TMPDIR can't be written")
    # The objects of the start live as long as the process: keep the collector from scanning them.
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 5, 5)
    await stop.wait()
    succeeded = succession is not None and succession.other() is not None
    if carry is not None and not succeeded:
        await carry.save()  # with a successor the file belongs to that process
    await agent.stop(succeeded)
    if operator_endpoint is not None:
        operator_endpoint.close()


async def main(make_balancer: BalancerFactory, clock: Clock | None) -> int:
    """Read the configuration and run the agent; returns the exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # a SIGHUP before the handler is set would end the process
    try:
        config = read_agent(os.environ)
        agent = Agent(
            config,
            clock=clock,
            make_balancer=make_balancer,
            reserved=OPERATOR_ENDPOINT_DESCRIPTORS if config.mgmt is not None else 0,
        )
    except BadConfig as bad:
        print(f"lupinreach: {bad}", file=sys.stderr)
        return 2
    try:
        await run(agent)
    except BadConfig as bad:
        print(f"lupinreach: {bad}", file=sys.stderr)
        return 2
    except OSError as bad:
        print(f"lupinreach: {bad}", file=sys.stderr)
        return 1
    return 0


def serve(make_balancer: BalancerFactory = Balancer, clock: Clock | None = None) -> int:
    """Run one agent until it stops; returns the exit code. Without `clock` the system's clock is used."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main(make_balancer, clock))


if __name__ == "__main__":
    sys.exit(serve())
