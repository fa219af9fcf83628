"""What of an agent goes on from process to process: its store, what it learnt, and its part in the fleet."""

from __future__ import annotations

from lupinreach.net.agent import Agent
from lupinreach.ops.snapshot import SnapshotStore
from lupinreach.store.files import Disk
from lupinreach.store.store import Store


def restore_state(agent: Agent, disk: Disk | None = None, token: int | None = None) -> SnapshotStore | None:
    """Begin with what the process before has left, before the agent starts; None where nothing is configured.

    What is returned leaves it to the next.

    `disk` and `token` are the system's unless given.
    """
    config = agent.config
    if config.store is None:
        return None
    store = Store(config.store, config.name, disk, lambda why: agent.log.event("store failed", why=why))
    found = store.open()
    snapshot = SnapshotStore(agent, store, config.carry_age)
    snapshot.restore(found)
    agent.tasks.spawn("carry", snapshot.save_periodically())
    journal = None
    if config.ran:
        from lupinreach.ops.request_journal import RequestJournal  # nor one that has nothing to keep of this

        journal = RequestJournal(agent, store, found)
        agent.tasks.spawn("ran", journal.run())
    if config.fleet is not None:
        from lupinreach.ops.fleet_agent import FleetAgent  # an agent that is alone doesn't load it

        part = FleetAgent(
            agent, store, found, config.fleet, token, journal.peers_asked if journal else lambda _: None
        )
        agent.tasks.spawn("returning", part.run())
        if journal is not None:
            journal.on_recorded = part.record_synced
    return snapshot
