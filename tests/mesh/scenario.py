"""Interpreter for scenario files, run on simulated time: lines `TIME VERB ARGUMENTS`, described in `docs/mesh.md`."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from lupinreach.mesh.events import Event
from lupinreach.mesh.settings import FaultTolerance
from mesh.world import World

CONTROL_EVENTS = (Event.VIEW_PROPOSED, Event.PRIMARY_SERVING, Event.PRIMARY_STEPPED_DOWN)
KILLED_TASK_MESSAGE = "Task was destroyed but it is pending!"  # tasks of a killed process never finish


class Scenario:
    """One scenario file; `do_*` methods implement its verbs and return a message if an expectation fails."""

    def __init__(self, path: Path, folder: Path) -> None:
        self.lines = [line.split("#")[0].split() for line in path.read_text().splitlines()]
        self.world = World(folder)
        self.failures: list[str] = []
        self.statuses: dict[str, int] = {}
        self.reads: dict[str, bytes] = {}
        self._tasks: list[asyncio.Task[Any]] = []

    def play(self) -> None:
        """Run all lines and collect failures."""
        try:
            for number, words in enumerate(self.lines, 1):
                if not words:
                    continue
                if words[0].replace(".", "", 1).isdigit():
                    self.world.run_until(float(words[0]))
                    words = words[1:]
                verb = getattr(self, "do_" + words[0].replace("-", "_"))
                problem = verb(*words[1:])
                if problem:
                    self.failures.append(
                        f"line {number} at {self.world.now:.2f} s: {' '.join(words)}: {problem}"
                    )
            faults = [
                fault for fault in self.world.loop.faults if fault.get("message") != KILLED_TASK_MESSAGE
            ]
            self.failures += [f"fault: {fault}" for fault in faults]
        finally:
            self.world.end()

    def control_events(self) -> list[str]:
        """The decisions of the stores in order, without randomly drawn identities."""
        return [
            f"{name} {event.name}"
            for _, name, event, _ in self.world.recorded_events
            if event in CONTROL_EVENTS
        ]

    def _start_task(self, work: Any) -> None:
        with self.world.loop.owned_by(0):
            self._tasks.append(self.world.loop.create_task(work))

    # Topology and faults.

    def do_core(self, host: str, zone: str) -> None:
        self.world.add_core(host, zone)

    def do_sidecar(self, host: str, zone: str, service: str) -> None:
        self.world.add_sidecar(host, zone, service)

    def do_tolerate(self, machines: str, zones: str) -> None:
        self.world.tolerance = FaultTolerance(int(machines), int(zones), 0)

    def do_start(self, *hosts: str) -> None:
        for host in hosts or list(self.world.zones):
            self.world.start(host)
        if not hosts:
            self.world.first_start = False

    def do_kill(self, *hosts: str) -> None:
        for host in hosts or list(self.world.zones):
            self.world.kill(host)

    def do_kill_proxy(self, host: str) -> None:
        """Kill the proxy of a sidecar machine; its backend runs on."""
        self.world.kill(host)

    def do_start_proxy(self, host: str) -> None:
        self.world.start(host, with_backend=False)

    def do_wipe(self, *hosts: str) -> None:
        for host in hosts:
            self.world.wipe(host)

    def do_freeze(self, host: str, seconds: str) -> None:
        self.world.freeze(host, float(seconds))

    def do_cut(self, first: str, second: str) -> None:
        self.world.loop.cuts.add(frozenset((first, second)))

    def do_cut_one_way(self, source: str, target: str) -> None:
        self.world.loop.one_way.add((source, target))

    def do_isolate(self, *hosts: str) -> None:
        """Cut core machines off from the other core machines; all others reach both sides."""
        for host in hosts:
            for other in set(self.world.cores) - set(hosts):
                self.world.loop.cuts.add(frozenset((host, other)))

    def do_disk_full(self, host: str) -> None:
        self.world.full_disks.add(host)

    def do_disk_free(self, host: str) -> None:
        self.world.full_disks.discard(host)

    def do_clock(self, host: str, seconds: str) -> None:
        """Step the wall clock of a host."""
        self.world.clock_steps[host] = float(seconds)

    def do_stop(self, host: str) -> None:
        """SIGTERM to the programs of a core machine, which ends once they have stopped."""
        programs = [self.world.programs[(host, role)] for role in self.world.roles(host)]

        async def stop() -> None:
            await asyncio.gather(*(program.stop() for program in programs))
            self.world.kill(host)

        self._start_task(stop())

    def do_link(self, host: str, bytes_per_s: str) -> None:
        """Limit the bandwidth of the link into a host; excess data is queued."""
        self.world.loop.rates[host] = float(bytes_per_s)

    def do_delay(self, source: str, target: str, seconds: str) -> None:
        """Delay what one host sends to another from now on; connections keep its order."""
        self.world.loop.extra_delays[(source, target)] = float(seconds)

    def do_heal(self) -> None:
        self.world.loop.heal()

    def do_term(self, host: str) -> None:
        program = self.world.programs[(host, "proxy")]

        async def stop() -> None:
            await program.stop()
            self.world.kill(host)

        self._start_task(stop())

    # Orders and requests.

    def do_order(self, host: str, version: str, *options: str) -> None:
        parameters: dict[str, Any] = dict(option.split("=") for option in options)
        name = parameters.pop("as", version)

        async def order() -> None:
            self.statuses[name] = await self.world.replace_configuration(host, version, **parameters)

        self._start_task(order())

    def do_orders(self, host: str, first: str, count: str, every: str, *options: str) -> None:
        """Send `count` configurations one after the other, `every` seconds apart."""
        parameters: dict[str, Any] = dict(option.split("=") for option in options)

        async def send() -> None:
            for number in range(int(first, 16), int(first, 16) + int(count)):
                await self.world.replace_configuration(host, f"{number:08x}", **parameters)
                await asyncio.sleep(float(every))

        self._start_task(send())

    def do_read(self, host: str, name: str) -> None:
        """Read the configuration back as an operator."""

        async def read() -> None:
            status, body = await self.world.call(host, 8306, "GET", "/configuration/describe")
            self.statuses[name] = status
            self.reads[name] = body

        self._start_task(read())

    def do_evacuate(self, host: str, zone: str, verb: str, *options: str) -> None:
        """Order to start or stop an evacuation; its operator waits for `patience` seconds, then hangs up unless `keep`."""
        parameters: dict[str, str] = dict(option.split("=") for option in options)
        patience_s = float(parameters.get("patience", 8.0))

        async def order() -> None:
            path = f"/evacuations/{zone}/{verb}"
            status, _ = await self.world.call(
                host, 8306, "POST", path, patience_s=patience_s, hang_up="keep" not in parameters
            )
            self.statuses[parameters.get("as", zone + verb)] = status

        self._start_task(order())

    def do_ask(self, host: str, path: str, request_id: str, *options: str) -> None:
        parameters = dict(option.split("=") for option in options)
        method = "POST" if path.startswith("/unsafe") else "GET"
        deadline = int(parameters.get("deadline", 2000))
        size = int(parameters.get("bytes", 1))
        for index in range(int(parameters.get("times", 1))):
            name = request_id if "times" not in parameters else f"{request_id}{index}"
            self._start_task(self.world.send_request(host, path, name, deadline, method, size))

    def do_stream(self, host: str, path: str, prefix: str, per_s: str, seconds: str, *options: str) -> None:
        """Send requests at a constant rate, with ids `prefix0`, `prefix1`, ..."""
        size = int(dict(option.split("=") for option in options).get("bytes", 1))
        method = "POST" if path.startswith("/unsafe") else "GET"

        async def send() -> None:
            for index in range(int(float(per_s) * float(seconds))):
                name = f"{prefix}{index}"
                self._start_task(self.world.send_request(host, path, name, 2000, method, size))
                await asyncio.sleep(1 / float(per_s))

        self._start_task(send())

    # Backends.

    def do_backend(self, host: str, key: str, value: str) -> None:
        backend = self.world.backends[host]
        setattr(backend, key, type(getattr(backend, key))(value))

    def do_beat(self, host: str, via: str = "", *options: str) -> None:
        """Send a heartbeat, `late` seconds late; its caller waits for `patience` seconds, then hangs up unless `keep`."""
        parameters: dict[str, str] = dict(option.split("=") for option in options)
        name = parameters.get("as", f"beat-{host}")
        late_s, patience_s = float(parameters.get("late", 0.0)), float(parameters.get("patience", 8.0))
        hang_up = "keep" not in parameters

        async def beat() -> None:
            self.statuses[name] = await self.world.send_heartbeat(
                host, via, late_s, patience_s=patience_s, hang_up=hang_up
            )

        self._start_task(beat())

    def do_sign_off(self, host: str, via: str) -> None:
        async def sign_off() -> None:
            self.statuses[f"sign-off-{host}"] = await self.world.sign_off(host, via)

        self._start_task(sign_off())

    def do_crash(self, host: str) -> None:
        self.world.stop_backend(host)

    def do_replace(self, host: str, cold_ms: str = "0") -> None:
        self.world.new_instance(host, float(cold_ms))
        if (host, "backend") not in self.world.owners:
            self.world.start_backend(host)

    # Expectations.

    def do_expect_status(self, name: str, *statuses: str) -> str | None:
        found = self.statuses.get(name, self.world.answers.get(name, (None, 0.0))[0])
        return None if str(found) in statuses else f"found {found}"

    def do_expect_read(self, name: str, version: str, text: str = "") -> str | None:
        """The configuration read back has that version and contains `text`."""
        found = self.reads.get(name, b"").decode()
        return None if f'"version":"{version}"' in found and text in found else f"found {found[:80]!r}"

    def do_expect_one_of(self, status: str, *names: str) -> str | None:
        """Exactly one of the orders got the status."""
        found = [self.statuses.get(name) for name in names]
        return None if [str(one) for one in found].count(status) == 1 else f"found {found}"

    def do_expect_voters(self, host: str, *hosts: str) -> str | None:
        view = self.world.programs[(host, "store")].replica.view
        found = sorted(voter.host for voter in view.voters)
        return None if found == sorted(hosts) else f"found {found}"

    def do_expect_copies(self, minimum: str, version: str) -> str | None:
        """At least that many stores are complete replicas of the newest view and hold the version."""
        replicas = [p.replica for (_, role), p in self.world.programs.items() if role == "store"]
        newest = max(replica.view.epoch for replica in replicas)
        held = [
            replica.me.host
            for replica in replicas
            if replica.view.epoch == newest and replica._may_propose and replica.document.version == version
        ]
        return None if len(held) >= int(minimum) else f"found {held}"

    def do_expect_disk_at_most(self, host: str, kilobytes: str) -> str | None:
        found = sum(file.stat().st_size for file in (self.world.folder / host).iterdir()) / 1024
        return None if found <= float(kilobytes) else f"found {found:.0f} KB"

    def do_expect_within(self, request_id: str, seconds: str) -> str | None:
        _, duration_s = self.world.answers.get(request_id, (0, 999.0))
        return None if duration_s <= float(seconds) else f"took {duration_s:.3f}"

    def do_expect_runs(self, request_id: str, *counts: str) -> str | None:
        found = self.world.run_count(request_id)
        return None if str(found) in counts else f"ran {found} times"

    def do_expect_serving(self, *hosts: str) -> str | None:
        found = self.world.serving()
        ok = len(found) == 1 if hosts == ("one",) else found == sorted(h for h in hosts if h != "none")
        return None if ok else f"found {found}"

    def do_expect_version(self, host: str, version: str) -> str | None:
        found = self.world.programs[(host, "proxy")].configuration.version
        return None if found == version else f"found {found!r}"

    def do_expect_in_force_within(self, host: str, seconds: str) -> str | None:
        """Each committed version, or a higher one, was in force at a proxy within the given time."""
        committed: dict[str, float] = {}
        applied = []
        for at, name, event, facts in self.world.recorded_events:
            if event is Event.ORDER_COMMITTED:
                committed.setdefault(facts["version"], at)
            elif event is Event.CONFIGURATION_APPLIED and name == f"{host}/proxy":
                applied.append((at, facts["version"]))
        committed.pop("none", None)
        lags = {
            version: min((at for at, held in applied if held >= version), default=self.world.now) - since
            for version, since in committed.items()
        }
        late = {version: round(lag, 2) for version, lag in lags.items() if lag > float(seconds)}
        return f"{len(late)} of {len(lags)} late, most {max(late.values())} s" if late else None

    def do_expect_registry_zones(self, host: str, own: str, *others: str) -> str | None:
        """A proxy has one registry link into its own zone and one into another zone."""
        held = self.world.programs[(host, "proxy")]._registries._links
        found = sorted(self.world.zones[one.address.partition(":")[0]] for one in held)
        ok = len(found) == 2 and own in found and set(found) <= {own, *others} and len(set(found)) == 2
        return None if ok else f"found {found}"

    def do_expect_primary_known(self, *hosts: str) -> str | None:
        """The registries of these hosts have a primary to send orders to."""
        without = [
            host for host in hosts if self.world.programs[(host, "registry")]._stores.primary() is None
        ]
        return f"none at {without}" if without else None

    def do_expect_kept(self, version: str) -> str | None:
        """The newest committed configuration of the primary has that version."""
        for (_, role), program in self.world.programs.items():
            if role == "store" and program.replica.serving and program.replica.committed is not None:
                found = program.replica.committed.version
                return None if found == version else f"found {found!r}"
        return "no primary"

    def do_expect_registered(self, registry: str, host: str) -> str | None:
        """A registry has exactly the current backend of a proxy in its table."""
        instance = self.world.backends[host].instance
        entries = self.world.programs[(registry, "registry")].agents.entries()
        found = [entry.instance_id for entry in entries if entry.address.startswith(f"{host}:")]
        return None if found == [instance] else f"found {found}, not {instance}"

    def do_expect_most_running(self, host: str, maximum: str) -> str | None:
        found = self.world.backends[host].most_running
        return None if found <= int(maximum) else f"found {found}"

    def do_expect_arrivals(self, host: str, maximum: str) -> str | None:
        """The backend received at most that many requests in any sliding window of one second."""
        times = self.world.backends[host].arrived
        found = max((sum(t <= other < t + 1.0 for other in times) for t in times), default=0)
        return None if found <= int(maximum) else f"found {found}"

    def do_expect_served(self, prefix: str, minimum: str) -> str | None:
        found = sum(
            status == 200 for name, (status, _) in self.world.answers.items() if name.startswith(prefix)
        )
        return None if found >= int(minimum) else f"found {found}"

    def do_expect_event(self, name: str, host: str, minimum: str) -> str | None:
        """Programs of a host have logged the event at least that many times."""
        found = sum(
            e.name.lower() == name and of.startswith(f"{host}/") for _, of, e, _ in self.world.recorded_events
        )
        return None if found >= int(minimum) else f"found {found}"

    def do_expect_answered(self, prefix: str) -> str | None:
        """Every request with the prefix got a response."""
        lost = [
            name for name, (status, _) in self.world.answers.items() if name.startswith(prefix) and not status
        ]
        return f"no answer for {lost[:5]}" if lost else None

    def do_expect_no_cut(self, prefix: str) -> str | None:
        """Requests without a response were not executed either: the proxy did not read them."""
        names = [
            name for name, (status, _) in self.world.answers.items() if name.startswith(prefix) and not status
        ]
        cut = [name for name in names if self.world.run_count(name)]
        return f"cut {cut}" if cut else None

    def do_expect_refused_unrun(self, prefix: str) -> str | None:
        """Each request was served, or rejected with 503 without being executed; no outcome is unknown."""
        found = {
            name: status
            for name, (status, _) in self.world.answers.items()
            if name.startswith(prefix) and status != 200 and (status != 503 or self.world.run_count(name))
        }
        return f"{len(found)} not: {dict(list(found.items())[:3])}" if found else None

    def do_expect_ran_once(self, prefix: str) -> str | None:
        ran = [name for b in self.world.backends.values() for name in b.ran if name.startswith(prefix)]
        twice = {name for name in ran if ran.count(name) > 1}
        return f"twice: {sorted(twice)}" if twice else None
