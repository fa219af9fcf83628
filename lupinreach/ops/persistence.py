"""Connects an agent to its stored state: the balancer's snapshot, the request journal and its fleet part."""

from __future__ import annotations

from lupinreach.net.agent import Agent
from lupinreach.ops.snapshot import SnapshotStore
from lupinreach.store.files import Disk
from lupinreach.store.store import Store


def restore_state(agent: Agent, disk: Disk | None = None, token: int | None = None) -> SnapshotStore | None:
    """Restores the state of the previous process before the agent starts; None if no store is configured.

    The returned object saves the state for the next process.

    `disk` defaults to the system's files, `token` to a random one.
    """
    config = agent.config
    if config.store is None:
        return None
    store = Store(config.store, config.name, disk, lambda why: agent.log.event("store failed", why=why))
    contents = store.open()
    snapshot = SnapshotStore(agent, store, config.carry_age)
    snapshot.restore(contents)
    agent.tasks.spawn("carry", snapshot.save_periodically())
    journal = None
    if config.ran:
        from lupinreach.ops.request_journal import RequestJournal  # loaded only where it is configured

        journal = RequestJournal(agent, store, contents)
        agent.tasks.spawn("ran", journal.run())
    if config.fleet is not None:
        from lupinreach.ops.fleet_agent import FleetAgent  # loaded only by agents of a fleet

        part = FleetAgent(
            agent, store, contents, config.fleet, token, journal.peers_asked if journal else lambda _: None
        )
        agent.tasks.spawn("returning", part.run())
        if journal is not None:
            journal.on_recorded = part.record_synced
    return snapshot
