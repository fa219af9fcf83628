"""Heartbeats that come late or again never shut out the instance that runs, nor bring back one that has ended."""

from __future__ import annotations

from lupinreach.mesh.proxy.local_backend import BackendState, Heartbeat, LocalBackend


def _beat(backend: LocalBackend, instance: str, sequence: int, state: str = "ready") -> bool:
    return backend.on_heartbeat(instance, Heartbeat("alpha", "h:1", "za", 4, state, sequence), 0.0)


# Guards against a running instance that is shut out for good by a late heartbeat.
def test_late_heartbeat_of_an_unknown_instance_gives_way_to_the_one_that_goes_on() -> None:
    backend = LocalBackend("alpha")
    assert _beat(backend, "new", 5)
    _beat(backend, "ended long ago", 70)
    _beat(backend, "new", 6)
    _beat(backend, "new", 7)
    assert (backend.instance_id, backend.state) == ("new", BackendState.READY)


# Guards against one late heartbeat that displaces the running instance.
def test_one_late_heartbeat_of_a_known_instance_changes_nothing() -> None:
    backend = LocalBackend("alpha")
    assert _beat(backend, "old", 9)
    assert _beat(backend, "new", 1)
    assert not _beat(backend, "old", 10)
    assert not _beat(backend, "old", 8)
    assert (backend.instance_id, backend.state) == ("new", BackendState.READY)


# Guards against requests to an instance after its acknowledged sign-off.
def test_instance_that_signed_off_never_returns() -> None:
    backend = LocalBackend("alpha")
    assert _beat(backend, "old", 9)
    backend.on_deregister("old")
    assert not _beat(backend, "old", 10)
    assert _beat(backend, "new", 1)
    assert not _beat(backend, "old", 11) and not _beat(backend, "old", 12)
    assert backend.instance_id == "new"


# Guards against requests to a draining instance after a heartbeat from before.
def test_draining_is_not_taken_back_by_an_earlier_heartbeat() -> None:
    backend = LocalBackend("alpha")
    assert _beat(backend, "one", 5, "draining")
    assert not _beat(backend, "one", 4)
    assert backend.state is BackendState.DRAINING


# Guards against a late first heartbeat that hides from a restarted process that its backend went cold since.
def test_first_heartbeat_does_not_shorten_the_cold_time_of_the_health_response() -> None:
    for health_first in (True, False):
        backend = LocalBackend("alpha")
        if health_first:
            backend.on_health_response("one", 4000, 4, 0.0)
        assert _beat(backend, "one", 5)
        if not health_first:
            backend.on_health_response("one", 4000, 4, 0.0)
        assert backend.cold_s(0.0) == 4.0
        assert _beat(backend, "one", 6)
        assert backend.cold_s(0.0) == 0.0
        backend.on_health_response("one", 4000, 4, 0.0)
        assert backend.cold_s(0.0) == 0.0
