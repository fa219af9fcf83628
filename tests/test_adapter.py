"""The adapter between the simulator's JSON line protocol and the decision module."""

import json
import subprocess
import sys

import pytest

from lupinreach.adapter.wire import BadInput, Host
from lupinreach.balance import Balancer

SETTINGS = {
    "categories": [{"aim": 400.0, "give_up": 2000.0, "credit": 1.0, "semantics": "repeatable", "name": "p"}],
    "ceilings": {"max_attempts": 3, "may_cancel": True, "a_new_key": 1},
    "invariants": {"start_capacity": 0.2, "cold": 10_000.0, "fall": 2000.0, "ask_within": 10_000.0},
    "discovery": "on_request",
    "step": 5.0,
    "report": {"fields": ["outstanding", "novel"], "how": "inline"},
}
HOSTS = [{"backend": 70, "lifecycle": 1}, {"backend": 71, "lifecycle": 1, "locality": 1, "nominal": 2}]


def batch(ts, *news):
    return json.dumps({"ts": ts, "news": list(news)})


def actions_of(host, ts, *news):
    return json.loads(host.batch(batch(ts, *news)))["actions"]


def attach(i=0, settings=None, page=0):
    return [
        {"t": "attach", "i": i, "prng": 5, "settings": settings or SETTINGS},
        {"t": "directory_update", "i": i, "page": page, "rev": 1, "how": 2},
    ]


def req(tid, i=0, until=3000.0):
    return {"t": "req", "i": i, "tid": tid, "cls": 0, "valid_until": until, "attrs": 0}


def started(*instances):
    host = Host()
    events = [e for i in instances or (0,) for e in attach(i)]
    return host, actions_of(host, 1000.0, {"t": "inventory", "page": 0, "hosts": HOSTS}, *events)


def sent_attempts(actions):
    return [a for a in actions if a["t"] == "try"]


def test_empty_batch_gets_an_empty_reply():
    assert json.loads(Host().batch('{"ts":8412.25,"news":[]}')) == {"actions": []}


def test_call_is_sent_and_its_end_processed():
    host, first = started()
    assert {"t": "track", "i": 0, "enable": True} in first
    sent = sent_attempts(actions_of(host, 1005.0, req(9)))
    assert len(sent) == 1 and sent[0]["backend"] in (70, 71) and sent[0]["try_until"] == 3000.0
    reply = {
        "t": "reply",
        "i": 0,
        "tid": 9,
        "try": 0,
        "backend": sent[0]["backend"],
        "ending": "delivered",
        "rtt": 50.0,
        "complete": True,
        "metrics": [3, 1],
    }
    assert actions_of(host, 1055.0, reply) == []
    late = [reply, {"t": "cancelled_by_client", "i": 0, "tid": 9}, {"t": "head_received", "i": 0, "tid": 9}]
    assert actions_of(host, 1060.0, *late) == []


@pytest.mark.parametrize(
    "metrics", [[-1, 0], [1e300, 0], ["many", 1], [True, 1], [None, 2], [float("nan"), 1]]
)
def test_implausible_load_report_is_ignored(metrics, monkeypatch):
    host, _ = started()
    reported = []
    monkeypatch.setattr("lupinreach.balance.Balancer.on_probe", lambda self, *what: reported.append(what[-1]))
    actions_of(
        host, 1005.0, {"t": "check_result", "i": 0, "backend": 70, "ending": "delivered", "metrics": metrics}
    )
    actions_of(
        host, 1005.0, {"t": "check_result", "i": 0, "backend": 4711, "ending": "delivered", "metrics": [3, 1]}
    )
    assert reported[0] is None and reported[1] is not None
    assert {a["backend"] for a in sent_attempts(actions_of(host, 1006.0, *(req(n) for n in range(20))))} <= {
        70,
        71,
    }


@pytest.mark.parametrize("ending", ["app_error", "shed", "expired", "dial_failed", "dropped", "unused"])
def test_every_failure_leads_to_another_attempt_or_an_answer(ending):
    host, _ = started()
    backend = sent_attempts(actions_of(host, 1005.0, req(9)))[0]["backend"]
    got = actions_of(
        host,
        1010.0,
        {"t": "reply", "i": 0, "tid": 9, "try": 0, "backend": backend, "ending": ending, "rtt": 5.0},
    )
    assert [a["t"] for a in got if a["t"] in ("try", "busy", "surrender")]


def test_list_numbers_are_resolved_in_event_order():
    host = Host()
    got = actions_of(
        host,
        1000.0,
        {"t": "inventory", "page": 3, "hosts": HOSTS[:1]},
        *attach(0, page=3),
        {"t": "inventory", "page": 3, "hosts": HOSTS[1:]},
        *attach(1, page=3),
        req(1, 0),
        req(2, 1),
    )
    assert {(a["i"], a["backend"]) for a in sent_attempts(got)} == {(0, 70), (1, 71)}


def test_stop_and_start_in_one_batch_resets_the_instance():
    host, _ = started()
    actions_of(host, 1005.0, req(9))
    got = actions_of(
        host,
        1010.0,
        {"t": "power_off", "i": 0},
        *attach(0),
        req(10),
        {"t": "reply", "i": 0, "tid": 9, "try": 0, "backend": 70, "ending": "shed", "rtt": 5.0},
    )
    assert [a["tid"] for a in sent_attempts(got)] == [10]


def test_instances_share_nothing():
    alone, _ = started(1)
    both, _ = started(0, 1)
    for n in range(40):
        ts = 1005.0 + 5 * n
        together = actions_of(both, ts, req(n, 0), req(1000 + n, 1))
        assert actions_of(alone, ts, req(1000 + n, 1)) == [a for a in together if a["i"] == 1]


def test_exception_in_the_module_is_reported(monkeypatch):
    host, _ = started()
    monkeypatch.setattr(Balancer, "submit", lambda *_: 1 / 0)
    fault = actions_of(host, 1005.0, req(9))[0]
    assert fault["t"] == "bug" and "ZeroDivisionError on req" in fault["note_text"]


@pytest.mark.parametrize(
    "change, text",
    [
        ({"categories": None}, "categories: missing"),
        ({"categories": []}, "categories: empty"),
        ({"categories": [{"aim": 1.0, "semantics": "once"}]}, "categories[0].give_up: missing"),
        (
            {"categories": [{"give_up": 5.0, "semantics": "twice"}]},
            "categories[0].semantics: unknown 'twice'",
        ),
        ({"ceilings": 3}, "ceilings: must be an object"),
    ],
)
def test_malformed_settings_are_reported_for_their_instance(change, text):
    host = Host()
    hosts = {"t": "inventory", "page": 0, "hosts": HOSTS}
    got = actions_of(host, 1.0, hosts, *attach(4, SETTINGS | change), *attach(5))
    bugs = [a for a in got if a["t"] == "bug"]
    assert len(bugs) == 1 and bugs[0]["i"] == 4 and text in bugs[0]["note_text"]


@pytest.mark.parametrize(
    "line, text",
    [
        ("no json", "not JSON"),
        ("[]", "must be an object"),
        ('{"news":[]}', "ts is missing"),
        ('{"ts":1}', "news is missing"),
        ('{"ts":1,"news":[3]}', "an event must be an object"),
        ('{"ts":1,"news":[{"t":"wat","i":0}]}', "unknown event 'wat'"),
        ('{"ts":1,"news":[{"t":"req","i":0}]}', "never attached"),
        ('{"ts":1,"news":[{"t":"inventory","page":16,"hosts":[]}]}', "no list number"),
        (batch(1.0, *attach(page=2)), "list 2 was never sent"),
    ],
)
def test_bad_input_is_named(line, text):
    with pytest.raises(BadInput, match=text):
        Host().batch(line)


def test_missing_field_is_named():
    host, _ = started()
    with pytest.raises(BadInput, match="req: field 'valid_until' is missing"):
        host.batch(batch(1005.0, {"t": "req", "i": 0, "tid": 1, "cls": 0}))


def run(text):
    command = [sys.executable, "-m", "lupinreach.adapter"]
    return subprocess.run(command, input=text, capture_output=True, text=True)


def test_process_answers_each_line_and_exits_at_the_end_of_input():
    done = run('{"ts":1,"news":[]}\n{"ts":2,"news":[]}\n')
    assert (done.returncode, done.stdout) == (0, '{"actions":[]}\n' * 2)


def test_process_names_bad_input_without_a_traceback():
    done = run('{"ts":1,"news":[]}\nnonsense\n')
    assert done.returncode != 0 and done.stderr == "lupinreach: line 2: not JSON\n"
