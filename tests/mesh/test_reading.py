"""Parsing of settings, heartbeats and configurations: errors name the invalid key."""

from __future__ import annotations

import orjson
import pytest
from result import Err, Ok

from lupinreach.mesh.configuration import Configuration
from lupinreach.mesh.configuration_check import parse_configuration
from lupinreach.mesh.demo import CONFIGURATION
from lupinreach.mesh.instance_calls import parse_heartbeat
from lupinreach.mesh.settings import parse_settings

SETTINGS = {
    "node_name": "n",
    "ip_address": "10.0.0.1",
    "zone": "a",
    "region": "r",
    "zones": {"a": "r"},
    "listen_addresses": {"control_plane": "10.0.0.1:8306"},
    "internal_port_range": [7620, 7635],
    "seed_nodes": ["10.0.0.1:8306"],
    "bounds": {"retry_budget_ratio": 0.25, "unknown": True},
    "unknown": 1,
}
HEARTBEAT = {
    "target_service": "s",
    "address": "a",
    "zone": "z",
    "capacity": 4,
    "state": "ready",
    "sequence": 1,
}


def test_settings_ignore_unknown_fields() -> None:
    read = parse_settings(orjson.dumps(SETTINGS))
    assert isinstance(read, Ok)
    assert read.ok_value.bounds.retry_budget_ratio == 0.25


@pytest.mark.parametrize(
    ("change", "expected_key"),
    [
        ({"node_name": None}, "node_name"),
        ({"zones": {"a": 1}}, "zones.a"),
        ({"seed_nodes": ["nowhere"]}, "seed_nodes[0]"),
        ({"seed_nodes": [1]}, "seed_nodes[0]"),
        ({"internal_port_range": [1]}, "internal_port_range"),
        ({"zone": "b"}, "zone"),
        ({"bounds": {"ack_ms": "soon"}}, "bounds.ack_ms"),
        ({"first_start": 1}, "first_start"),
    ],
)
def test_invalid_setting_is_named(change: dict[str, object], expected_key: str) -> None:
    read = parse_settings(orjson.dumps(SETTINGS | change))
    assert isinstance(read, Err)
    assert read.err_value.startswith(f"{expected_key}:")


@pytest.mark.parametrize("key", list(HEARTBEAT))
def test_missing_heartbeat_field_is_named(key: str) -> None:
    heartbeat = {name: value for name, value in HEARTBEAT.items() if name != key}
    assert parse_heartbeat(orjson.dumps(heartbeat)) == Err(f"{key}: missing")
    assert isinstance(parse_heartbeat(orjson.dumps(HEARTBEAT)), Ok)


# Guards against an invalid configuration that is acknowledged because a split hides the unknown service.
@pytest.mark.parametrize(
    ("change", "expected_key"),
    [
        ({"target_service": "nowhere"}, "target_service"),
        (
            {"target_service": "nowhere", "traffic_split": [{"target_service": "alpha", "weight": 1}]},
            "target_service",
        ),
        ({"traffic_split": [{"target_service": "nowhere", "weight": 1}]}, "traffic_split.target_service"),
    ],
)
def test_unknown_service_of_a_route_is_named(change: dict[str, object], expected_key: str) -> None:
    route = {"path_prefix": "/a/", "route_type": "safe", "timeout_ms": 1000, "target_service": "alpha"}
    hosts = [{"hostname": "h", "path_rules": [route | change]}]
    whole = {"version": "00000001", "services": [{"name": "alpha"}], "limits": {}, "virtual_hosts": hosts}
    parsed = parse_configuration(orjson.dumps(whole))
    assert isinstance(parsed, Err)
    assert parsed.err_value.startswith(f"virtual_hosts[0].path_rules[0].{expected_key}: unknown service")
    assert isinstance(parse_configuration(orjson.dumps(whole).replace(b"nowhere", b"alpha")), Ok)


def test_configuration_survives_a_round_trip() -> None:
    parsed = parse_configuration(orjson.dumps(CONFIGURATION))
    assert isinstance(parsed, Ok)
    assert Configuration.from_list(parsed.ok_value.to_list()) == parsed.ok_value
