"""The reader of agents' logs: restarts, killed agents, bursts, malformed lines."""

import json
import subprocess
import sys

import pytest

from lupinreach import logs


def line(at, agent, event, before="", **more):
    return (before + json.dumps({"at": at, "agent": agent, "event": event, **more})).encode()


def counters(at, agent, taken, event="counters", **more):
    return line(
        at,
        agent,
        event,
        taken={"pay": taken},
        answered={"fulfilled": taken - 1, "rate-limited": 1},
        shots={"served": taken},
        cpu_s=taken / 1000,
        list_age_ms=50.0,
        **more,
    )


def test_counters_are_summed_over_runs_by_the_last_line_of_each():
    fleet = logs.read(
        [
            [
                line(0, "a", "started"),
                counters(10, "a", 100),
                counters(20, "a", 300),
                line(30, "a", "started"),
                counters(40, "a", 50, "stopped"),
            ],
            [line(1, "b", "started"), counters(25, "b", 10)],
        ]
    )
    assert [(one.agent, one.stopped) for one in fleet.runs] == [("a", False), ("b", False), ("a", True)]
    found = logs.summary(fleet)
    assert found["taken"] == {"pay": 360} and found["answered"]["rate-limited"] == 3
    assert found["agents"] == 2 and found["starts"] == 3 and found["without_counters"] == 0
    assert found["cpu_ms_an_api_call"] == 1.0


def test_order_of_files_does_not_matter():
    one = [line(0, "a", "started"), counters(10, "a", 5)]
    two = [line(20, "a", "started"), counters(30, "a", 7)]
    assert logs.summary(logs.read([one, two])) == logs.summary(logs.read([two, one]))


def test_agent_killed_before_its_first_counters_is_reported():
    found = logs.summary(logs.read([[line(0, "a", "started"), line(5, "a", "started"), counters(9, "a", 4)]]))
    assert found["without_counters"] == 1 and found["taken"] == {"pay": 4}


def test_agent_that_never_heard_from_the_directory_is_reported():
    text = json.loads(counters(9, "a", 4)) | {"list_age_ms": None}
    found = logs.summary(
        logs.read([[line(0, "a", "started"), json.dumps(text).encode()], [counters(9, "b", 4)]])
    )
    assert found["never_heard_from_directory"] == 1 and found["list_age_ms"] == {
        "median": 50.0,
        "oldest": 50.0,
    }


def test_largest_burst_within_100_ms_over_all_agents():
    times = [0, 50, 90, 100, 101, 500, 900]
    fleet = logs.read([[line(at, f"a{n}", "directory failed", why="fault")] for n, at in enumerate(times)])
    assert logs.most_at_once(fleet) == {"directory failed: fault": (4, 0)}


def test_ejections_restorations_and_failures_are_counted_separately():
    fleet = logs.read(
        [
            [
                line(1, "a", "module", text="backend 7 ejected for SLO 400 ms at 800 ms"),
                line(2, "a", "module", text="backend 7 restored for SLO 400 ms"),
                line(3, "a", "module", text="something else"),
                line(4, "a", "directory failed", why="silent", where=""),
            ]
        ]
    )
    assert logs.summary(fleet)["events"] == {
        "backend ejected": 1,
        "backend restored": 1,
        "module": 1,
        "directory failed: silent": 1,
    }


def test_prefix_of_a_log_collector_is_skipped():
    assert logs.summary(logs.read([[line(1, "a", "started", before="12:00:01.5 host a | ")]]))["starts"] == 1


@pytest.mark.parametrize(
    "text",
    [
        b"{",
        b"no json",
        b"[1]",
        b"{}",
        b'{"at":"1","agent":"a","event":"x"}',
        b'{"at":true,"agent":"a","event":"x"}',
        b'{"at":1,"agent":2,"event":"x"}',
        b'{"at":1,"agent":"a"}',
        b"\xff\xfe{",
        b'{"at":1,"agent":"a","event":"x"',
    ],
)
def test_lines_that_are_no_event_are_counted_and_skipped(text):
    fleet = logs.read([[text, b"", line(1, "a", "started")]])
    assert fleet.invalid_lines == 1 and len(fleet.runs) == 1


def test_malformed_counters_are_ignored():
    found = logs.summary(
        logs.read(
            [
                [
                    counters(1, "a", 5),
                    line(
                        2,
                        "b",
                        "counters",
                        taken={"pay": "many", "look": -3, "hold": True},
                        shots=[1],
                        cpu_s="much",
                        list_age_ms="old",
                    ),
                ]
            ]
        )
    )
    assert found["taken"] == {"pay": 5} and found["cpu_ms_an_api_call"] == 1.0


def command(*files):
    done = subprocess.run(
        [sys.executable, "-m", "lupinreach.cli", "logs", *map(str, files)],
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout, done.stderr


def test_command_prints_one_object_and_names_a_missing_file(tmp_path):
    file = tmp_path / "a.log"
    file.write_bytes(b"\n".join([line(0, "a", "started"), counters(1, "a", 3)]))
    code, out, _ = command(file)
    assert code == 0 and json.loads(out)["taken"] == {"pay": 3}
    code, out, err = command(file, tmp_path / "none.log")
    assert code == 2 and not out and "none.log" in err
    (tmp_path / "empty.log").write_text("hello\n")
    code, out, err = command(tmp_path / "empty.log")
    assert code == 2 and not out and "empty.log" in err
