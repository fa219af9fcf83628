import json

import pytest

from lupinreach.adapter.wire import BadInput, Host


def test_empty_batch_gets_an_empty_reply():
    assert json.loads(Host().batch('{"ts":8412.25,"news":[]}')) == {"actions": []}


@pytest.mark.parametrize("line, text", [
    ("no json", "not JSON"),
    ("[]", "must be an object"),
    ('{"news":[]}', "ts is missing"),
    ('{"ts":1}', "news is missing"),
    ('{"ts":1,"news":[{"t":"wat","i":0}]}', "unknown event 'wat'"),
    ('{"ts":1,"news":[{"t":"req","i":0}]}', "never attached"),
])
def test_bad_input_is_named(line, text):
    with pytest.raises(BadInput, match=text):
        Host().batch(line)
