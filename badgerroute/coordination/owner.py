"""One owned part at work: taking it over, its members, its reports, its rounds of decisions."""

import logging
from collections import Counter
from collections.abc import Callable, Coroutine
from datetime import timedelta

from badgerroute.coordination import reachability, summary
from badgerroute.coordination.claims import Claim, Claims
from badgerroute.coordination.fleet import rents_ahead
from badgerroute.coordination.job_store import JobStore, Progress
from badgerroute.coordination.member_registry import MemberRegistry, Push
from badgerroute.coordination.migration import WorkMigration
from badgerroute.coordination.quotas import TeamQuotas
from badgerroute.protocol import mesh as mesh_wire
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.common import MalformedError, encode
from badgerroute.protocol.workers import Command, DirectCommands, Report, ReportAnswer, parse_report
from badgerroute.scheduling.model import ZERO, Machine, Phase, Room
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.part import Part
from badgerroute.scheduling.planner import Planner
from badgerroute.settings import Settings
from badgerroute.storage import records
from badgerroute.storage.budget import Urgency
from badgerroute.storage.records import DeletedMachinesRecord, MachineRecord
from badgerroute.storage.replica import DELETED, MACHINES, Replica
from badgerroute.storage.state import (
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateClient,
    StateUnavailableError,
    put,
    remove,
    when,
)
from badgerroute.transport.http import Client, Unanswered
from badgerroute.transport.loop import Future, Gate, Group, Loop
from badgerroute.transport.net import Network

log = logging.getLogger("badgerroute.owner")
DIRECT_LIMIT = timedelta(seconds=2)
DIRECT_CONNECT = timedelta(seconds=1)
FENCE_RETRY = timedelta(milliseconds=700)
GIVE_UP = timedelta(seconds=3.5)  # a member that is silent for so long after a takeover is deleted at the cloud
LOST_PATIENCE = timedelta(seconds=4)
ROUND = timedelta(milliseconds=250)
STATE_LOGGED = timedelta(seconds=10)
PARTIAL = timedelta(seconds=3)  # between two writes of a job's progress, unless it may be complete
SUMMARY_KEPT = timedelta(milliseconds=400)
REGISTER_LIMIT = timedelta(seconds=1)
MAX_DIRECT_CANCELLATIONS = 16  # machines that are told of withdrawn jobs in one round; the others hear by their reports
RESERVATION_TTL = timedelta(seconds=2.5)  # what another part lacks is asked for every second
UNEVEN = 0.15  # of our share: what we may use more than a part whose jobs are our equals
FORGET_AGAIN = timedelta(seconds=1)
FORGET_AT_ONCE = 8  # a transaction as large as the budget's burst has to wait until nobody else writes
NAMES_PER_PAGE = 100  # deleted machines on a page, which may be written anew for each of them
MACHINE_NAME_BYTES = 64  # bytes that a name may take, at twice a page's length


async def _at_once() -> None:
    """Nothing to wait for."""


class Owner:
    """Everything a controller does for one part it owns. Ended by `close` when the claim is lost."""

    def __init__(
        self,
        number: int,
        claim: Claim,
        settings: Settings,
        loop: Loop,
        network: Network,
        parent: Group,
        state: StateClient,
        replica: Replica,
        claims: Claims,
        job_store: JobStore,
        quotas: TeamQuotas,
        catalog: dict[str, MachineType],
        push: Push,
        progressed: Callable[[], None],
        gate: Gate,
    ) -> None:
        self.number = number
        self._settings, self._loop, self._network = settings, loop, network
        self._state, self._replica, self._claims = state, replica, claims
        self._job_store, self._quotas, self._catalog = job_store, quotas, catalog
        self._push, self._progressed, self._gate = push, progressed, gate
        self.group = Group(loop, f"{parent.name}/part-{number}")
        self.objectives = Objectives(settings.params.objectives)
        self.part = Part(
            number, claim.term, lambda team: quotas.of(number, team), loop.now(), settings.params.workers.lease
        )
        self.planner = Planner(self.part, settings.operator.scheduling, self.objectives, settings.params.workers.report)
        self.grace = claim.grace
        self.ready = False
        self.delete: Callable[[list[str]], None] = lambda names: None
        self.resolved: Callable[[], Coroutine[object, object, None]] = _at_once  # how jobs ended that others wait for
        self._window = records.window(state.max_value_bytes)
        self._fencing: set[str] = set()
        self._given_up: set[str] = set()  # neither answers nor commands reach them
        self.member_registry = MemberRegistry(loop, self.group, state, replica, push)
        self.migration = WorkMigration(
            self.part,
            self.planner,
            loop,
            self.group,
            state,
            replica,
            claims,
            job_store,
            push,
            lambda: self.ready,
            self.job_changed,
        )
        self.progress: set[str] = set()
        self._most_members = 0
        self._names_per_page = max(1, min(NAMES_PER_PAGE, state.max_value_bytes // MACHINE_NAME_BYTES))
        self._summary: tuple[timedelta, mesh_wire.PartSummary] | None = None
        self._raising: Future | None = None

    def start(self) -> None:
        self.group.spawn(self._take_over(), "takeover")

    def close(self) -> None:
        self.ready = False
        self.group.cancel()

    # -- takeover

    async def _take_over(self) -> None:
        """Rebuild the part from the state service and its machines before anything is placed."""
        await self._replica.caught_up(self.part.term)  # no write of the former owner comes after this
        await self.resolved()
        while not self._catalog:
            await self._loop.sleep(timedelta(milliseconds=100))
        now = self._loop.now()
        for key in self._replica.under(MACHINES):
            self.machine_changed(key.removeprefix(MACHINES), self._replica.value(key))
        for ref in list(self._job_store.active):
            self.job_changed(ref)
        self.ready = True
        log.info(
            "event=takeover part=%d term=%d machines=%d jobs=%d",
            self.number,
            self.part.term,
            len(self.part.machines),
            len(self.part.jobs),
        )
        for machine in list(self.part.machines.values()):
            self._fence(machine)
        self.part.claimed_at = min(self.part.claimed_at, now)
        self.group.duty(self._rounds, "rounds", ROUND)
        self.group.duty(self._log_state, "tell", STATE_LOGGED)

    def _fence(self, machine: Machine) -> None:
        if machine.name not in self._fencing:
            self._fencing.add(machine.name)
            self.group.spawn(self._fence_one(machine), f"fence-{machine.name}")

    async def _fence_one(self, machine: Machine) -> None:
        """Tell a member of the new term until its list is known and it hears us, or it is gone."""
        began = self._loop.now()
        try:
            while self.part.machines.get(machine.name) is machine and (not machine.fenced or machine.unreachable):
                if not await self.direct(machine, []):
                    if machine.name not in self._given_up and self._loop.now() - began > self._patience():
                        self._given_up.add(machine.name)
                        log.info("event=silent_member machine=%s part=%d", machine.name, self.number)
                        self.delete([machine.name])
                    await self._loop.sleep(FENCE_RETRY)
        finally:
            self._fencing.discard(machine.name)
            self._given_up.discard(machine.name)

    def _patience(self) -> timedelta:
        """If most members are silent, the fault is more likely on our side: don't have them all deleted at once."""
        return GIVE_UP if 2 * len(self._fencing) <= len(self.part.machines) + 3 else 5 * GIVE_UP

    async def direct(self, machine: Machine, commands: list[Command], urgent: bool = False) -> bool:
        """Send commands to a machine's own address; never starts, since these may be carried out minutes late.

        Only so many at a time, and nothing stays open: an owner of everything has a thousand members, and every one of
        them holds a connection to us already.
        """
        async with self._gate.place(urgent):
            client = Client(self._loop, self._network, machine.address, most_idle=1, connect=DIRECT_CONNECT)
            try:
                return await self._direct(client, machine, commands)
            finally:
                client.drop()

    async def _direct(self, client: Client, machine: Machine, commands: list[Command]) -> bool:
        commands = [one for one in commands if one.kind != "start"]
        for _ in range(2):
            body = encode(DirectCommands(self.part.term, machine.session, commands))
            try:
                response = await client.request("POST", "/do", body, DIRECT_LIMIT)
            except Unanswered:
                return False
            if response.status not in (200, 409):
                return False
            try:
                report = parse_report(response.body)
            except MalformedError as error:
                log.warning("event=bad_direct_answer machine=%s error=%s", machine.name, error)
                return False
            if self.part.machines.get(machine.name) is not machine or report.machine != machine.name:
                return False
            self.apply_report(machine, report, checkin=False)
            if response.status == 200:
                return True
            if report.token > self.part.term and not await self.raise_term():
                return False
        return False

    async def raise_term(self) -> bool:
        """Get a term above the token that some machine has seen elsewhere."""
        if self._raising is not None:
            # Whoever waits with others must learn how it went. Once they took it for granted, and an owner cut off from
            # the state service answered hundreds of machines in its old term: they dropped the answers, stayed there
            # all the same, and their leases ran out.
            raising = self._raising
            return await self._loop.first(raising, REGISTER_LIMIT) and raising.result
        self._raising = Future()
        raised = False
        try:
            term = await self._claims.raise_term(self.number)
        except (StateUnavailableError, OutcomeUnknownError, LeaseExpiredError) as error:
            log.info("event=raise_failed part=%d error=%s", self.number, error)
        else:
            if term is not None:
                self.part.term = term
                raised = True
        finally:
            self._raising.set(raised)
            self._raising = None
        return raised

    # -- what the watch says

    def machine_changed(self, name: str, value: bytes | None) -> None:
        now = self._loop.now()
        record = records.read(value, MachineRecord) if value else None
        known = self.part.machines.get(name)
        if record is None or record.part != self.number:
            if known is not None:
                self.part.remove_machine(name, now)
            return
        kind = self._catalog.get(record.type)
        if known is None and kind is not None:
            machine = self.part.add_machine(name, record, kind, now)
            machine.held_for = self.migration.gathering(now)

    def job_changed(self, ref: str) -> None:
        record = self._job_store.active.get(ref)
        if record is None:
            self.part.drop_job(ref)
            return
        if self._job_store.waits(ref):
            return  # until we ourselves have seen it released, nothing of it is there
        now = self._loop.now()
        age = timedelta(seconds=self._loop.clock.today().timestamp() - self._job_store.effective_arrival(ref, record))
        held_back = timedelta(seconds=self._job_store.effective_arrival(ref, record) - record.accepted)
        done = self._job_store.done(ref, record)
        job = self.part.add_job(record, now - max(ZERO, age), self._window, now, done, held_back)
        if job is not None:
            self.part.set_level(job, self._job_store.level(ref))

    # -- reports

    async def checkin(self, report: Report) -> ReportAnswer | None:
        """Answer a report. None: can't act on it now, the worker should try elsewhere or again."""
        machine = self.part.machines.get(report.machine)
        if machine is None:
            machine = await self._register(report)
            if machine is None:
                return None
        if report.token > self.part.term and not await self.raise_term():
            return None
        if report.token > self.part.term:
            return None  # it would drop the answer, and stay here while its lease runs out
        if not self._claims.acting(self.number) or self.part.machines.get(report.machine) is not machine:
            return None
        if machine.unreachable or machine.name in self._given_up:
            # Each answer of ours would put off the time from which on it is certainly rid of its tasks.
            self._fence(machine)
            return None
        fresh = self.apply_report(machine, report, checkin=True)
        now = self._loop.now()
        if fresh:
            deadline = now + self._settings.operator.scheduling.round

            def over() -> bool:
                return self._loop.now() > deadline

            # Gangs first, and now: placed in the next round of their own, they would wait for one more report.
            self.planner.gangs_on(machine, now, over)
            self.planner.fill(machine, now, over)
        commands = self.part.commands(machine, now, starts=fresh) if fresh else []
        machine.answered = now
        if not machine.fenced or machine.unreachable:
            self._fence(machine)
        return ReportAnswer(self.part.term, commands)

    async def _register(self, report: Report) -> Machine | None:
        if report.type not in self._catalog or not self._claims.acting(self.number):
            return None
        record = MachineRecord(self.number, report.address, report.type, report.zone, report.spot)
        written = self.member_registry.add(report.machine, record)
        self.member_registry.start(self._claims)
        await self._loop.first(written, REGISTER_LIMIT)
        machine = self.part.machines.get(report.machine)
        if machine is not None and written.done and written.result and not report.tasks and report.token == 0:
            # We made it a member, in this term, so nobody has ever been entitled to start anything on it:
            # there is no one to fence off.
            machine.pristine = True
        return machine

    def apply_report(self, machine: Machine, report: Report, checkin: bool) -> bool:
        now = self._loop.now()
        events = self.part.on_report(machine, report, checkin, now)
        if events is None:
            return False
        if events.progressed:
            self.progress |= events.progressed
            self._progressed()
        if not self.part.settled:
            self.part.settle()
        for one in events.quarantined:
            self.group.spawn(self._retire_quarantined(one), "retire")
        return True

    async def _retire_quarantined(self, machine: Machine) -> None:
        """A machine that fails everything is worth nothing: drain it, then have it deleted."""
        for placement in list(machine.placements.values()):
            self.part.stop(placement, timedelta(seconds=placement.job.spec.save_s))
        await self._loop.sleep(timedelta(seconds=3))
        self.delete([machine.name])

    # -- rounds

    async def _rounds(self) -> None:
        while True:
            await self._loop.sleep(ROUND)
            if not self._claims.acting(self.number):
                continue
            now = self._loop.now()
            deadline = now + self._settings.operator.scheduling.round

            def over(deadline: timedelta = deadline) -> bool:
                return self._loop.now() > deadline

            self._expire(now)
            self._notices(now)
            self.part.expire_reservations(now)
            self.part.settle()
            self.planner.release_holds(now)
            self.planner.gangs(now, over)
            if not over():
                self.planner.make_room_for_arrays(now)
            self.planner.feedback(now)
            await self._urgent_halts()
            await self._seek_shares()

    async def _log_state(self) -> None:
        """Where the part stands, for people on call."""
        while True:
            await self._loop.sleep(STATE_LOGGED)
            machines = list(self.part.machines.values())
            phases = Counter(one.phase.value for machine in machines for one in machine.placements.values())
            log.info(
                "event=part_state part=%d machines=%d unusable=%d empty=%d held=%d free=%.0f jobs=%d wanting=%d %s",
                self.number,
                len(machines),
                sum(not one.usable for one in machines),
                sum(one.empty for one in machines),
                sum(one.held_for is not None for one in machines),
                sum(one.free.cpus for one in machines),
                len(self.part.jobs),
                sum(job.waiting_bits.bit_count() for job in self.part.jobs.values()),
                " ".join(f"{phase}={count}" for phase, count in sorted(phases.items())),
            )

    def _expire(self, now: timedelta) -> None:
        lost = self.part.expire(now, self._claims.proved, self._settings.machine_lease, self.grace)
        for machine in lost:
            machine.lost_at = now
        if lost:
            names = ",".join(machine.name for machine in lost)
            log.info("event=machines_lost part=%d machines=%s", self.number, names)
        # Deleted only if it stays silent: when we could not answer for a while, all come back by themselves.
        silent = [one for one in self.part.machines.values() if not one.alive and one.lost_at is not None]
        patience = LOST_PATIENCE if 3 * len(silent) <= len(self.part.machines) + 3 else 5 * LOST_PATIENCE
        names = [one.name for one in silent if now - one.lost_at > patience]
        if names:
            self.delete(names)

    def _notices(self, now: timedelta) -> None:
        """Use what is left of a machine that the cloud takes back."""
        for machine in self.part.machines.values():
            if machine.notice is None:
                continue
            left = machine.notice - now
            for placement in list(machine.placements.values()):
                if placement.stopping:
                    continue
                spec = placement.job.spec
                if placement.running_since is not None:
                    ran = now - placement.running_since
                    if timedelta(seconds=spec.estimate_s) - ran < left:
                        continue  # it may well finish in time
                grace = timedelta(seconds=spec.save_s)
                if spec.gang:
                    self.part.stop_gang(placement.job, grace if spec.checkpoint_s else ZERO)
                else:
                    self.part.stop(placement, grace if spec.checkpoint_s else ZERO)

    async def _urgent_halts(self) -> None:
        """Don't wait for reports to carry what is in a hurry.

        A gang's tasks must hear of their stop close together. And no task of a withdrawn job should begin once its user
        was told: those that still fetch their image come first, and the others are of no use to anybody.
        """
        gangs: dict[Machine, None] = {}
        withdrawn: dict[Machine, bool] = {}  # whether a task of one has begun on all such tasks there
        for job in self.part.jobs.values():
            if not job.gang and job.owned:
                continue
            for placement in job.placed.values():
                if placement.stopping and placement.halted_at is None and placement.phase is not Phase.SENT:
                    if job.gang:
                        gangs[placement.machine] = None
                    else:
                        begun = placement.running_since is not None
                        withdrawn[placement.machine] = begun and withdrawn.get(placement.machine, True)
        direct = [one for one in sorted(withdrawn, key=lambda one: withdrawn[one]) if one not in gangs]
        for machine in (*gangs, *direct[:MAX_DIRECT_CANCELLATIONS]):
            commands = self.part.commands(machine, self._loop.now(), starts=False)
            self.group.spawn(self.direct(machine, commands, urgent=True), "halt")

    # -- shares

    async def _seek_shares(self) -> None:
        lacks, self.planner.short_of_share = self.planner.short_of_share, {}
        for team, lack in lacks.items():
            if not await self._quotas.raise_own(self.number, team, lack):
                first = self._first_short(team)
                if first is None:
                    continue
                rank, lack, age = first
                message = self._quotas.ask(self.number, team, lack, age, rank, self.part.usage[team].cpus)
                if message is not None:
                    self.group.spawn(self._ask(message), "ask-share")

    def _first_short(self, team: str) -> tuple[tuple[float, float, float], Room, timedelta] | None:
        """Of a team's jobs that wait here for want of a share, the first in the order of service.

        Their rank, what all of that rank lack together, and the age of the oldest.
        """
        short = [job for job in self.part.jobs.values() if job.spec.team == team and self.part.short_of_share(job)]
        if not short:
            return None
        rank, now, lack = min(self.planner.rank(job) for job in short), self._loop.now(), Room()
        first = [job for job in short if self.planner.rank(job) == rank]
        for job in first:
            count = job.startable
            lack.cpus += count * job.need.cpus
            lack.accelerators += count * job.need.accelerators
        return rank, lack, max(now - job.accepted for job in first)

    async def _ask(self, message: mesh_wire.ShareRequest) -> None:
        self.ask(message)

    ask: Callable[[mesh_wire.ShareRequest], None] = staticmethod(lambda message: None)

    async def give_share(self, message: mesh_wire.ShareRequest) -> None:
        """Another part lacks a share: give what we neither use nor can use soon, or what it has the better use for."""
        team = message.team
        if not self.part.settled or not self._claims.acting(self.number):
            return
        cpus, gpus = self._quotas.of(self.number, team)
        used = self.part.usage[team]
        lack = Room(message.cpus, message.accelerators)
        spare = Room(cpus - used.cpus, gpus - used.accelerators)
        keep = self._share_to_yield(message, lack, spare)
        if keep is None:
            spare.take(self._soon(message))
        else:
            lack = keep
        await self._quotas.give(self.number, message.part, team, lack, spare)

    def _soon(self, message: mesh_wire.ShareRequest) -> Room:
        """What a team's jobs that wait here could use of its share."""
        soon = Room()
        for job in self.part.jobs.values():
            if job.spec.team != message.team:
                continue
            if self.part.short_of_share(job) and (message.age_s, -message.part) > (
                (self._loop.now() - job.accepted).total_seconds(),
                -self.number,
            ):
                # What is kept for it does not suffice either. Two gangs once waited for ever, each of them beside a
                # part of the limit that was too small for it; now what there is goes to the older one.
                continue
            count = job.startable
            if count:
                room = self.part.room_for(job)
                soon.cpus += min(count, room) * job.need.cpus
                soon.accelerators += min(count, room) * job.need.accelerators
        return soon

    def _share_to_yield(self, message: mesh_wire.ShareRequest, lack: Room, spare: Room) -> Room | None:
        """How much of our share another part should have though work waits for it here; None: nothing.

        All that it lacks, if its jobs come before ours; if they are equal, so much that both use the same. What is not
        free yet is kept for it as our tasks end. A part that had come to hold a limit kept it as long as it had work,
        and urgent jobs in another part waited behind its idle ones.
        """
        ranks = [
            self.planner.rank(job) for job in self.part.jobs.values() if job.spec.team == message.team and job.startable
        ]
        if message.rank is None or not ranks or message.rank > min(ranks):
            return None
        wanted = lack.copy()
        if message.rank == min(ranks):
            kept = self.part.reserved_for_siblings.get(message.team, (Room(), ZERO))[0]  # free by now, but not for us
            more = (self.part.usage[message.team].cpus + kept.cpus - message.used) / 2
            if more <= UNEVEN * self._quotas.of(self.number, message.team)[0]:
                return None
            wanted = Room(min(wanted.cpus, more), wanted.accelerators)
        missing = Room(max(0.0, wanted.cpus - spare.cpus), max(0.0, wanted.accelerators - spare.accelerators))
        used = self.part.usage[message.team]
        missing = Room(min(missing.cpus, used.cpus), min(missing.accelerators, used.accelerators))
        self.part.reserve_for_sibling(message.team, missing, self._loop.now() + RESERVATION_TTL)
        return wanted

    # -- what others are told

    def idle_capacities(self) -> tuple[list[mesh_wire.FreeCapacity], dict[str, tuple[float, float]]]:
        return summary.idle_capacities(self.part)

    def summary(self) -> mesh_wire.PartSummary:
        """What others need to know. Made anew a few times a second at most: it looks at everything there is."""
        now = self._loop.now()
        if self._summary is None or now - self._summary[0] >= SUMMARY_KEPT:
            ahead = rents_ahead(self._settings, self._catalog)
            levels = {self._job_store.level(ref) for ref, record in self._job_store.schedulable() if record.job.gang}
            silent = self.silent() > 0
            self._summary = (now, summary.summarize(self.part, self.planner, levels, ahead, now, silent))
        return self._summary[1]

    def missed(self, name: str) -> bool:
        """Whether a machine is a member whose report should have come by now."""
        machine = self.part.machines.get(name)
        report, now = self._settings.params.workers.report, self._loop.now()
        return machine is not None and reachability.overdue(machine, self.part, report, now)

    def silent(self) -> int:
        return reachability.silent(self.part, self._settings.params.workers.report, self._loop.now())

    # -- members leave

    async def forget_machines(self, names: list[str]) -> None:
        """Machines that the cloud says are gone: their tasks are too.

        They are written down as gone, so that a late copy of a report does not make a member of one again.
        """
        now = self._loop.now()
        for name in names:
            self.part.remove_machine(name, now)
        self.part.settle()
        while names and self.number in self._claims.parts:
            key, known = self._deleted_machines_page()
            batch = names[: min(self._state.max_changes - 1, self._names_per_page - len(known), FORGET_AT_ONCE)]
            gone = records.write(DeletedMachinesRecord([*known, *(one for one in batch if one not in known)]))
            members = [MACHINES + name for name in batch if self._replica.revision_of(MACHINES + name)]
            changes = [put(key, gone), *(remove(one) for one in members)]
            # On the page as we know it: carried out late, an older write of it would strike newer names off.
            conditions = [self._claims.condition(self.number), when(key, self._replica.revision_of(key))]
            try:
                at = await self._state.transact(conditions, changes, Urgency.PROGRESS)
            except (StateUnavailableError, OutcomeUnknownError, ConflictError, LeaseExpiredError) as error:
                log.info("event=forget_failed machines=%d error=%s", len(batch), error)
                await self._loop.sleep(FORGET_AGAIN)
                continue
            for one, value in ((key, bytes(gone)), *((member, None) for member in members)):
                self._replica.learn(one, value, at)
                self._push(one, value, at)
            names = names[len(batch) :]

    def _deleted_machines_page(self) -> tuple[str, list[str]]:
        """Where the next deleted machines are written down, and what stands there.

        A page is small, since each deletion writes one anew; there are pages for twice as many machines as we have ever
        had at once, and when all are full the oldest begins anew.
        """
        prefix = f"{DELETED}{self.number}/"
        pages = sorted(self._replica.under(prefix), key=self._replica.revision_of)
        self._most_members = max(self._most_members, len(self.part.machines))
        if pages:
            known = records.read(self._replica.value(pages[-1]), DeletedMachinesRecord).names
            if len(known) < self._names_per_page:
                return pages[-1], known
        if len(pages) < max(4, -(-2 * self._most_members // self._names_per_page)):
            return f"{prefix}{len(pages)}", []
        return pages[0], []

    def batch(self) -> list[Progress]:
        """Newly done tasks to be written down: at once if they may be the job's last, else once in a while."""
        found = []
        now = self._loop.now()
        for ref in list(self.progress):
            job = self.part.jobs.get(ref)
            if job is None or not job.done_here:
                self.progress.discard(ref)
                continue
            last = not job.owned & ~(job.done | job.done_here)
            if last or now - job.written >= PARTIAL:
                job.written = now
                found.append(Progress(ref, job.done_here, {self.number}))
        return found
