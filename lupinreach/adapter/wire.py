"""Translates between the simulator's JSON line protocol and the decision module. Nothing is decided here."""

from __future__ import annotations

import base64
import binascii
import json
from collections.abc import Callable, Hashable
from functools import partial
from typing import Any

from lupinreach.balance import Balancer, Call
from lupinreach.config import BadConfig, is_plausible_load, read_settings
from lupinreach.model import AttemptEnd, Listing, ListState, Load, NewCall, UpdateKind

ATTEMPT_ENDS = {
    "delivered": AttemptEnd.FULFILLED,
    "app_error": AttemptEnd.ERRORED,
    "shed": AttemptEnd.REJECTED,
    "expired": AttemptEnd.TIMED_OUT,
    "dial_failed": AttemptEnd.UNREACHABLE,
    "dropped": AttemptEnd.RESET,
    "revoked": AttemptEnd.CANCELLED,
    "unused": AttemptEnd.UNSENT,
}
COST_HINT_FLAG, RETRY_FLAG, WRITE_FLAG = 1, 2, 4
MAX_LISTS = 16
MAX_PEER_MESSAGE_BYTES = 256


class BadInput(Exception):
    """The input violates the protocol; the text names the fault."""


def _lookup(table: dict[str, Any], name: Any, what: str) -> Any:
    try:
        return table[name]
    except (KeyError, TypeError):
        raise BadInput(f"unknown {what} {name!r}") from None


class Instance:
    """One agent's balancer with the mapping of the protocol's ids; implements the balancer's port."""

    def __init__(self, number: int, actions: list[dict[str, Any]], now: float, raw: Any, seed: int) -> None:
        self._number = number
        self.actions = actions  # of the current reply
        self._indices: dict[int, int] = {}  # by backend id of the protocol; grows until the instance ends
        self._ids: list[int] = []  # backend id of the protocol, by index
        self._calls: dict[Hashable, Call] = {}  # removed once no more events can refer to them
        settings = read_settings(raw)
        self._load_fields = settings.load_fields
        self._balancer = Balancer(settings, seed, self)
        self._balancer.start(now)

    # The module's port.

    def _add_action(self, name: str, **fields: Any) -> None:
        self.actions.append({"t": name, "i": self._number, **fields})

    def send(self, token: Hashable, backend: int, until: float) -> None:
        self._add_action("try", tid=token, backend=self._ids[backend], try_until=until)

    def cancel(self, token: Hashable, attempt: int) -> None:
        self._add_action("undo_send", tid=token, **{"try": attempt})

    def rate_limit(self, token: Hashable, retry_after: float) -> None:
        self._add_action("busy", tid=token, retry_after=retry_after)

    def error(self, token: Hashable) -> None:
        self._add_action("surrender", tid=token)

    def wake(self, at: float, mark: str) -> None:
        self._add_action("wake_at", at=at, mark=mark)

    def directory(self, follow: bool) -> None:
        if follow:
            self._add_action("track", enable=True)
        else:
            self._add_action("list_all")

    def probe(self, backend: int) -> None:
        self._add_action("poll", backend=self._ids[backend])

    def peers(self, message: bytes) -> None:
        self._add_action("tell", dst="*", msg=base64.b64encode(message[:MAX_PEER_MESSAGE_BYTES]).decode())

    def log(self, text: str) -> None:
        self._add_action("write_log", note_text=text)

    # Events of the protocol; `EVENTS` names the handler of each one.

    def _index(self, wire_id: int) -> int:
        index = self._indices.get(wire_id)
        if index is None:
            index = self._indices[wire_id] = len(self._ids)
            self._ids.append(wire_id)
        return index

    def _load(self, row: list[float] | None) -> Load | None:
        if not row or not is_plausible_load(row):
            return None
        named = zip(self._load_fields, row, strict=False)
        return Load(**{k: v for k, v in named if k in Load.__dataclass_fields__})

    def req(self, now: float, e: dict[str, Any]) -> None:
        """A client's API call has arrived."""
        flags = e.get("attrs", 0)
        token = e["tid"]
        call = self._balancer.submit(
            now,
            NewCall(
                token=token,
                product=e.get("cls", 0),
                until=e["valid_until"],
                customer=e.get("project", 0),
                key=e.get("resource"),
                cost=e.get("cost") if flags & COST_HINT_FLAG else None,
                is_retry=bool(flags & RETRY_FLAG),
                write=bool(flags & WRITE_FLAG),
            ),
        )
        if not call.closed:
            self._calls[token] = call

    def head_received(self, now: float, e: dict[str, Any]) -> None:
        """An attempt's answer has begun."""
        call = self._calls.get(e["tid"])
        if call is not None:
            call.on_head(now, e.get("try", 0))

    def reply(self, now: float, e: dict[str, Any]) -> None:
        """An attempt has ended."""
        token = e["tid"]
        call = self._calls.get(token)
        if call is None:
            return
        call.on_attempt_ended(
            now,
            e.get("try", 0),
            _lookup(ATTEMPT_ENDS, e.get("ending"), "ending"),
            e.get("rtt", 0.0),
            bool(e.get("complete")),
            self._load(e.get("metrics")),
        )
        if call.closed:
            del self._calls[token]

    def cancelled_by_client(self, now: float, e: dict[str, Any]) -> None:
        """The client has abandoned its API call."""
        token = e["tid"]
        call = self._calls.get(token)
        if call is not None:
            call.on_client_left(now)
            if call.closed:
                del self._calls[token]

    def timer(self, now: float, e: dict[str, Any]) -> None:
        """A timer of the module has expired."""
        self._balancer.on_timer(now, e.get("mark", ""))

    def check_result(self, now: float, e: dict[str, Any]) -> None:
        """A probe has ended."""
        self._balancer.on_probe(
            now,
            self._index(e["backend"]),
            _lookup(ATTEMPT_ENDS, e.get("ending"), "ending"),
            e.get("rtt", 0.0),
            self._load(e.get("metrics")),
        )

    def from_peer(self, now: float, e: dict[str, Any]) -> None:
        """A message of another agent has arrived."""
        try:
            message = base64.b64decode(e.get("msg", ""), validate=True)
        except (binascii.Error, TypeError, ValueError):
            raise BadInput("msg is no base64") from None
        self._balancer.on_peer_message(now, e.get("sender", 0), message)

    def directory_update(self, now: float, e: dict[str, Any], hosts: list[dict[str, Any]]) -> None:
        """A backend list, a set of changes or a failed request of the directory has arrived."""
        try:
            update_kind = UpdateKind(e.get("how", 0))
            entries = [
                Listing(
                    self._index(h["backend"]),
                    ListState(h.get("lifecycle", 0)),
                    h.get("boot_time", 0.0),
                    float(h.get("nominal", 1.0)),
                    h.get("locality", 0),
                    h.get("cell", 0),
                    h["backend"],
                )
                for h in hosts
            ]
        except ValueError as bad:
            raise BadInput(f"directory_update: {bad}") from None
        self._balancer.update_backends(now, update_kind, entries)


EVENTS: dict[str, Callable[[Instance, float, dict[str, Any]], None]] = {
    "req": Instance.req,
    "head_received": Instance.head_received,
    "reply": Instance.reply,
    "cancelled_by_client": Instance.cancelled_by_client,
    "timer": Instance.timer,
    "check_result": Instance.check_result,
    "from_peer": Instance.from_peer,
}


class Host:
    """All instances of one process. They share nothing but the protocol's numbered backend lists."""

    def __init__(self) -> None:
        self._instances: dict[int, Instance | None] = {}  # None: its settings were malformed
        # By number, at most MAX_LISTS; a new list replaces the old one.
        self._lists: dict[int, list[dict[str, Any]]] = {}

    def batch(self, line: str) -> str:
        """Process the events of one input line; returns the reply line."""
        try:
            raw = json.loads(line)
        except ValueError:
            raise BadInput("not JSON") from None
        if not isinstance(raw, dict):
            raise BadInput("a batch must be an object")
        now, events = raw.get("ts"), raw.get("news")
        if isinstance(now, bool) or not isinstance(now, (int, float)):
            raise BadInput("ts is missing or no number")
        if not isinstance(events, list):
            raise BadInput("news is missing or no array")
        actions: list[dict[str, Any]] = []
        for e in events:
            if not isinstance(e, dict):
                raise BadInput("an event must be an object")
            try:
                self._event(float(now), e, actions)
            except KeyError as missing:
                raise BadInput(f"{e.get('t')}: field {missing.args[0]!r} is missing") from None
        return json.dumps({"actions": actions}, separators=(",", ":"))

    def _event(self, now: float, e: dict[str, Any], actions: list[dict[str, Any]]) -> None:
        name = e.get("t")
        if name == "inventory":
            self._inventory(e)
            return
        if name not in EVENTS and name not in ("attach", "power_off", "directory_update"):
            raise BadInput(f"unknown event {name!r}")
        number = e["i"]
        if name == "attach":
            self._attach(now, number, e, actions)
            return
        if number not in self._instances:
            raise BadInput(f"{name}: instance {number!r} was never attached")
        if name == "power_off":
            del self._instances[number]
            return
        instance = self._instances[number]
        if instance is None:
            return
        instance.actions = actions
        if name == "directory_update":
            handle = partial(instance.directory_update, now, e, self._hosts(e))
        else:
            handle = partial(EVENTS[name], instance, now, e)
        try:
            handle()
        except BadInput:
            raise
        except KeyError as missing:
            if missing.args and missing.args[0] in ("tid", "valid_until", "backend"):
                raise
            self._fault(number, name, missing, actions)
        except Exception as bad:  # an exception in the module is reported as a bug of the instance
            self._fault(number, name, bad, actions)

    def _inventory(self, e: dict[str, Any]) -> None:
        page = e.get("page", 0)
        if not isinstance(page, int) or not 0 <= page < MAX_LISTS:
            raise BadInput(f"inventory: page {page!r} is no list number")
        hosts = e.get("hosts", [])
        if not isinstance(hosts, list) or not all(isinstance(h, dict) for h in hosts):
            raise BadInput("inventory: hosts is no array of objects")
        self._lists[page] = hosts

    def _hosts(self, e: dict[str, Any]) -> list[dict[str, Any]]:
        if e.get("how", 0) == UpdateKind.FAILED.value:
            return []
        page = e.get("page", 0)
        if page not in self._lists:
            raise BadInput(f"directory_update: list {page!r} was never sent")
        return self._lists[page]

    def _attach(self, now: float, number: int, e: dict[str, Any], actions: list[dict[str, Any]]) -> None:
        self._instances[number] = None
        try:
            self._instances[number] = Instance(number, actions, now, e["settings"], e.get("prng", 0))
        except BadConfig as bad:
            actions.append({"t": "bug", "i": number, "note_text": str(bad)})

    @staticmethod
    def _fault(number: int, name: str, bad: Exception, actions: list[dict[str, Any]]) -> None:
        trace, where = bad.__traceback__, ""
        while trace is not None:
            where = f"{trace.tb_frame.f_code.co_name}:{trace.tb_lineno}"
            trace = trace.tb_next
        text = f"{type(bad).__name__} on {name} in {where}: {bad}"
        actions.append({"t": "bug", "i": number, "note_text": text})
