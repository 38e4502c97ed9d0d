"""What a part trades with the others: gangs passed on, waiting tasks stolen from it, empty machines lent.

Only the owner of a thing gives it away, in one conditional write; a lost request costs time, never safety.
"""

import logging
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

import msgspec

from badgerroute.coordination.services import Services
from badgerroute.protocol import mesh as mesh_wire
from badgerroute.scheduling.model import Job, Machine, Room, allows, need_of
from badgerroute.scheduling.part import Part
from badgerroute.scheduling.planner import Planner
from badgerroute.storage import records
from badgerroute.storage.budget import Urgency
from badgerroute.storage.records import MachineRecord, TaskRange, lowest
from badgerroute.storage.replica import JOBS, MACHINES
from badgerroute.storage.state import (
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateUnavailableError,
    put,
    when,
)
from badgerroute.transport.loop import Group

log = logging.getLogger("badgerroute.migration")
MAX_RANGES = 48
GANG_HOPE = timedelta(seconds=30)  # a gang that has waited longer, and does not fit, keeps no room from others' work
PASS_ON_PAUSE = timedelta(seconds=8)  # a gang that was passed on is left where it is for so long


def fits_capacity(want: mesh_wire.PendingDemand, one: mesh_wire.FreeCapacity) -> bool:
    """Whether a waiting task could run on such a machine as it is now."""
    return (
        (want.types is None or one.type in want.types)
        and want.zone in (None, one.zone)
        and (want.spot or not one.spot)
        and Room(one.cpus, one.accelerators, one.memory_gb).holds(Room(want.cpus, want.accelerators, want.memory_gb))
    )


class WorkMigration:
    """`active` tells whether the part's owner is still the one it was; `changed` is told of jobs to read again."""

    def __init__(
        self,
        part: Part,
        planner: Planner,
        services: Services,
        group: Group,
        active: Callable[[], bool],
        changed: Callable[[str], None],
    ) -> None:
        self.number, self.part, self.planner = part.number, part, planner
        self._loop, self._group = services.loop, group
        self._state, self._replica, self._claims = services.state, services.replica, services.claims
        self._job_store, self._job_reader, self._pager = services.job_store, services.job_reader, services.pager
        self._publish, self._ask_machines = services.publish, services.ask_machines
        self._active, self._changed = active, changed
        self._passed_on: dict[str, timedelta] = {}
        self._loan_request: tuple[str, timedelta] | None = None  # gang, and since when

    def gathering(self, now: timedelta) -> str | None:
        """The gang for which machines were asked lately: what comes now comes for it."""
        if self._loan_request is not None and now - self._loan_request[1] < PASS_ON_PAUSE:
            return self._loan_request[0]
        return None

    def short_teams(self) -> set[str]:
        """Teams of which work waits here for want of a share: more of it would wait just as long."""
        return {job.spec.team for job in self.part.jobs.values() if self.part.short_of_share(job)}

    def has_work_for(self, capacities: list[mesh_wire.FreeCapacity], short: set[str]) -> bool:
        """Whether something waits here that the free room could soon be used for.

        Any waiting job once counted, also one that no machine here may run, that its team's limit holds back, or that
        fails everywhere: beside it a part's room lay idle, while other parts' tasks waited for room.
        """
        now = self._loop.now()
        seen: set[tuple] = set()  # jobs come in few shapes
        for job in self.part.jobs.values():
            spec = job.spec
            if job.failing or job.failed_on or spec.team in short or not job.startable or job.blocked_until > now:
                continue
            if job.gang and now - job.since > GANG_HOPE and not self._holds(job, capacities):
                continue
            shape = (spec.cpus, spec.accelerators, spec.memory_gb, spec.zone, spec.spot, tuple(spec.types or ()))
            if shape not in seen:
                seen.add(shape)
                if self._slots(job, capacities):
                    return True
        return False

    def _acting(self) -> bool:
        """An owner that has ended must give nothing away, even if this controller holds the part again."""
        return self._active() and self._claims.acting(self.number)

    async def pass_on_gangs(self, summaries: list[mesh_wire.PartSummary]) -> None:
        """Give gangs for which there is no room here to a part that has some, or could make some."""
        now = self._loop.now()
        for job in self.planner.unplaceable_gangs(now):
            if now - self._passed_on.get(job.ref, -PASS_ON_PAUSE) < PASS_ON_PAUSE:
                continue
            others = [one for one in summaries if one.part != self.number and one.settled]
            options = [one for one in others if self._holds(job, one.capacities)] or [
                one for one in others if self._holds(job, one.soft.get(job.level, []))
            ]
            record = self._job_store.active.get(job.ref)
            if record is None:
                continue
            if not options:
                self._request_loan(job, now, others)
                continue
            target = min(
                options, key=lambda one: (-self._beside(job, one), sum(want.gang for want in one.demands), one.part)
            )
            self._passed_on = {ref: at for ref, at in self._passed_on.items() if now - at < PASS_ON_PAUSE}
            self._passed_on[job.ref] = now
            moved = record.with_ranges([TaskRange(target.part, 0, job.spec.tasks)])
            log.info("event=gang_passed_on job=%s from=%d to=%d", job.ref, self.number, target.part)
            await self._write_steal([(job.ref, moved)], target.part)

    def _request_loan(self, job: Job, now: timedelta, others: list[mesh_wire.PartSummary]) -> None:
        """No part could hold the gang: gather empty machines here until it fits."""
        here: Counter[str] = Counter()  # by zone, if it must lie in one
        for machine, room in self.planner.room_without(job.level):
            if allows(job.spec, machine.kind.name, machine.zone, machine.spot):
                here[machine.zone if job.spec.together else ""] += room.times(job.need)
        for machine in self.part.machines.values():
            if machine.held_for == job.ref:
                here[machine.zone if job.spec.together else ""] += 1
        whole = here + sum((self._slots(job, one.capacities) for one in others), Counter())
        if not whole:
            return
        # Room in two zones is no room for a gang that must lie in one: such a gang once waited for ever.
        zone = max(sorted(whole), key=lambda one: (min(job.spec.tasks, whole[one]), here[one]))
        lacking = job.spec.tasks - here[zone]
        if lacking > 0 and self.part.fits_share(job, job.spec.tasks) >= job.spec.tasks:
            self._loan_request = (job.ref, now)
            self._passed_on[job.ref] = now
            spec = msgspec.structs.replace(job.spec, zone=zone) if zone else job.spec
            self._ask_machines(mesh_wire.MachineLoanRequest(self.number, spec, lacking))

    async def lend(self, message: mesh_wire.MachineLoanRequest) -> None:
        """Give empty machines to a part that is too small for a gang, in one conditional write.

        Only a machine with nothing on it and no start on its way is given, and from before the write on nothing
        starts on it here.
        """
        if not self.part.settled or not self._acting():
            return
        need = need_of(message.job)
        given: list[Machine] = []
        slots = 0
        for machine in self.part.machines.values():
            if slots >= message.count or len(given) >= self._state.max_changes:
                break
            fits = machine.usable and machine.empty and machine.held_for is None and machine.free.holds(need)
            if fits and allows(message.job, machine.kind.name, machine.zone, machine.spot):
                slots += machine.free.times(need)
                given.append(machine)
        if not given:
            return
        conditions = [self._claims.condition(self.number)]
        puts = []
        for machine in given:
            machine.draining = True
            key = MACHINES + machine.name
            record = MachineRecord(message.part, machine.address, machine.kind.name, machine.zone, machine.spot)
            conditions.append(when(key, self._replica.revision_of(key)))
            puts.append(put(key, records.write(record)))
        try:
            at = await self._state.transact(conditions, puts, Urgency.PROGRESS)
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            log.debug("event=lend_failed part=%d error=%s", self.number, error)
            for machine in given:
                machine.draining = False
        except OutcomeUnknownError:
            # It may yet be applied, so these machines are of no use here until a write of ours rules that out.
            for machine in given:
                self._group.spawn(self._settle_machine(machine), "settle-lend")
        else:
            log.info(
                "event=machines_lent part=%d to=%d machines=%s",
                self.number,
                message.part,
                ",".join(machine.name for machine in given),
            )
            for change in puts:
                self._replica.learn(change.key, bytes(change.value), at)
                self._publish(change.key, bytes(change.value), at)

    async def _settle_machine(self, machine: Machine) -> None:
        key = MACHINES + machine.name
        while self.part.machines.get(machine.name) is machine:
            try:
                found = await self._state.get(key, Urgency.COMPLETE)
                if found is None or records.read(bytes(found.value), MachineRecord).part != self.number:
                    return  # the watch brings it
                conditions = [self._claims.condition(self.number), when(key, found.revision)]
                at = await self._state.transact(conditions, [put(key, found.value)], Urgency.COMPLETE)
                self._replica.learn(key, bytes(found.value), at)
                machine.draining = False
                return
            except (StateUnavailableError, OutcomeUnknownError, ConflictError, LeaseExpiredError):
                await self._loop.sleep(timedelta(milliseconds=500))

    @staticmethod
    def _slots(job: Job, capacities: list[mesh_wire.FreeCapacity]) -> Counter[str]:
        """How many of a job's tasks fit there: by zone, if they must lie in one."""
        slots: Counter[str] = Counter()
        for one in capacities:
            if allows(job.spec, one.type, one.zone, one.spot):
                room = Room(one.cpus, one.accelerators, one.memory_gb)
                slots[one.zone if job.spec.together else ""] += one.count * room.times(job.need)
        return slots

    @staticmethod
    def _beside(job: Job, one: mesh_wire.PartSummary) -> int:
        """How many of a gang's tasks could find their image in a part."""
        return min(job.spec.tasks, sum(room >= job.need.cpus for room in one.beside.get(job.spec.image, ())))

    def _holds(self, job: Job, capacities: list[mesh_wire.FreeCapacity]) -> bool:
        return max(self._slots(job, capacities).values(), default=0) >= job.spec.tasks

    async def on_steal(self, message: mesh_wire.StealRequest) -> None:
        """An idle part wants work: give it tasks that wait here and fit there, in one conditional write."""
        if not self.part.settled or not self._acting():
            return
        capacities = [[one, one.count] for one in message.capacities]
        changes: list[tuple[str, records.JobRecord]] = []
        now = self._loop.now()
        jobs = sorted(self.part.jobs.values(), key=lambda job: (not job.guaranteed, -job.level, job.accepted))
        for job in jobs:
            if len(changes) >= min(6, self._state.max_changes):
                break
            record = self._job_store.active.get(job.ref)
            if record is None or len(record.assigned) > MAX_RANGES or not job.waiting_bits or job.failing:
                continue
            if job.spec.team in message.short:
                continue
            taken = self._stealable(job, capacities, message.images, now)
            if taken:
                ranges = record.assigned
                while taken:
                    first = lowest(taken)
                    length = records.trailing_ones(taken >> first)
                    taken &= ~records.span(first, first + length)
                    ranges = records.give(ranges, first, first + length, message.thief)
                changes.append((job.ref, record.with_ranges(ranges)))
        if changes:
            await self._write_steal(changes, message.thief)

    def _stealable(
        self, job: Job, capacities: list[list], images: dict[str, tuple[float, float]], now: timedelta
    ) -> int:
        """The waiting tasks of a job that the other part could start, as a bit set; takes room from `capacities`."""
        spec = job.spec
        waiting = job.waiting_bits
        whole = spec.gang or spec.together or spec.spread
        if whole and job.placed:
            return 0  # placement rules look at all of the job's tasks: they stay in one part
        # Only machines that the job may use count: else its tasks would stay where none of them can ever run.
        room_here = self.part.room_for(job)
        wanted = waiting.bit_count() - (0 if whole else min(room_here, waiting.bit_count()))
        if whole and room_here >= wanted:
            return 0
        if spec.image not in images and now - job.since < timedelta(seconds=1):
            return 0
        fitting = 0
        used: list[tuple[list, int]] = []
        for entry in capacities:
            capacity, count = entry
            if not count or fitting >= wanted:
                continue
            if spec.types is not None and capacity.type not in spec.types:
                continue
            if (spec.zone is not None and spec.zone != capacity.zone) or (capacity.spot and not spec.spot):
                continue
            each = Room(capacity.cpus, capacity.accelerators, capacity.memory_gb).times(job.need)
            if not each:
                continue
            machines = min(count, -(-(wanted - fitting) // each))
            used.append((entry, machines))
            fitting += each * machines
        count = min(fitting, wanted)
        # An array that must stay in one part may run there a few at a time. Where none of its tasks has any room, it
        # once waited for a part that could hold all of them, beside one with room for some.
        few = whole and not spec.gang and not room_here
        if count <= 0 or (whole and fitting < wanted and not few):
            return 0
        for entry, machines in used:
            entry[1] -= machines
        if whole:
            return records.span(0, spec.tasks) & job.owned
        taken = 0
        for _ in range(count):  # from the far end, so that what stays is one piece
            top = 1 << (waiting.bit_length() - 1)
            waiting ^= top
            taken |= top
        return taken

    async def _write_steal(self, changes: list[tuple[str, records.JobRecord]], thief: int) -> None:
        if not self._acting():
            return  # the claim went while an earlier write of the same round was on its way
        conditions = [self._claims.condition(self.number)]
        puts = []
        held: list[tuple[Job, int]] = []
        for ref, record in changes:
            key = JOBS + ref
            job = self.part.jobs.get(ref)
            if job is None:
                continue
            if not self._pager.fits(record):
                # An older version may have left it larger than may be written now: it is traded once it is smaller.
                self._group.spawn(self._pager.page_out(ref), "page-out")
                continue
            given = job.owned & ~record.owned(self.number)
            if given & (job.placed_bits | job.giving):
                # Between the choice and this write a task of it was placed: once, a gang was passed on while the
                # write for the gang before it took its time, and ran in both parts.
                continue
            conditions.append(when(key, self._replica.revision_of(key)))
            puts.append(put(key, records.write(record)))
            held.append((job, given))
            # Nothing of it starts here while the write is on its way. What we own may be read from the record again
            # meanwhile, by the settling of an earlier write for instance, so it is not enough to own it no more.
            job.giving |= given
        if not puts:
            return
        try:
            at = await self._state.transact(conditions, puts, Urgency.PROGRESS)
        except (ConflictError, StateUnavailableError, LeaseExpiredError) as error:
            log.debug("event=steal_failed part=%d error=%s", self.number, error)
            if isinstance(error, ConflictError):
                await self._refresh([JOBS + job.ref for job, _ in held])
        except OutcomeUnknownError:
            # It may yet be applied: the tasks stay out of reach until another write has settled the key.
            for job, given in held:
                self._group.spawn(self._settle(job, given), "settle-steal")
            return
        else:
            log.info("event=steal part=%d thief=%d jobs=%d", self.number, thief, len(puts))
            for change in puts:
                self._replica.learn(change.key, bytes(change.value), at)
                self._publish(change.key, bytes(change.value), at)
        for job, given in held:
            self._given(job, given)

    def _given(self, job: Job, given: int) -> None:
        """The outcome is known, and so is what we own."""
        job.giving &= ~given
        self._changed(job.ref)

    async def _refresh(self, keys: list[str]) -> None:
        try:
            await self._job_reader.refresh(keys)
        except StateUnavailableError:
            log.debug("event=refresh_failed")

    async def _settle(self, job: Job, given: int) -> None:
        """Rewrite a job's record as it is, so that a lost transaction can't be applied any more."""
        key = JOBS + job.ref
        while True:
            try:
                found = await self._state.get(key, Urgency.COMPLETE)
                if found is None:
                    return  # it has its final state: the watch drops it
                at = await self._state.transact([when(key, found.revision)], [put(key, found.value)], Urgency.COMPLETE)
                self._replica.learn(key, bytes(found.value), at)
                self._publish(key, bytes(found.value), at)
                self._given(job, given)
                return
            except (StateUnavailableError, OutcomeUnknownError, ConflictError, LeaseExpiredError):
                await self._loop.sleep(timedelta(milliseconds=500))
