"""Making room: which work may be stopped for which, what that costs, and what the room that was made is kept for."""

import logging
from collections.abc import Callable
from datetime import timedelta

from badgerroute.scheduling import delay_scheduling
from badgerroute.scheduling.model import ZERO, Job, Machine, Placement
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.resources import EPSILON, Resources
from badgerroute.scheduling.service_order import ServiceOrder
from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.task_phase import Phase
from badgerroute.storage.records import lowest

log = logging.getLogger(__name__)
HELD = timedelta(seconds=6)  # how long room that was made for an array waits for its tasks
GANG_HELD = timedelta(seconds=30)  # and for a gang, whose tasks save before they go
LEAD_HEARTBEATS = 3  # heartbeats that pass between the decision to make room and the start in it
PATIENCE = 3
MAX_STOPS_PER_ROUND = 64  # tasks that are stopped for arrays


class Preemption:
    """Stops work of one shard for other work that comes before it in the order of service."""

    def __init__(self, shard: Shard, order: ServiceOrder, objectives: Objectives, heartbeat: timedelta) -> None:
        self._shard, self._order, self._objectives, self._heartbeat = shard, order, objectives, heartbeat
        self._cursor = 0  # the job with which making room goes on
        self.cut_short = 0  # rounds that ran out of time

    def candidates(self, job: Job, now: timedelta, free: bool = False) -> list[Machine]:
        """Machines that may run the job; `free`: only those with room for one of its tasks."""
        spec, cpus = job.spec, job.need.cpus - EPSILON if free else -1.0
        return [
            machine
            for machine in self._shard.machines.values()
            if machine.free.cpus >= cpus
            and machine.usable
            and machine.avoid_until <= now
            and machine.name not in job.failed_on
            and job.no_return_until.get(machine.name, ZERO) <= now
            and allows(spec, machine.kind.name, machine.zone, machine.spot)
        ]

    def may_stop(self, victim: Job, job: Job) -> bool:
        """Whether a victim's tasks may be stopped for a job.

        The same order decides who starts first. If two jobs could each stop the other, they would do so in turn,
        and neither would ever get done.
        """
        if self._order.job_class(job) >= self._order.job_class(victim):
            return False
        return victim.level < job.level or victim.spec.team != job.spec.team

    @staticmethod
    def _loss(placement: Placement, now: timedelta) -> float:
        """What stopping a task throws away, in processor-seconds: useful work, or the fetch so far.

        It weighs more with every time that the job was stopped: else a gang that is always the cheapest to stop, since
        it is always fetching, never gets to run (seven times in a row, once).
        """
        spec = placement.job.spec
        if placement.running_since is None:
            lost = (now - placement.since).total_seconds()
        else:
            ran = (now - placement.running_since).total_seconds()
            lost = min(ran, spec.save_s + 1.0) if spec.checkpoint_s else ran
        size = len(placement.job.placed) if spec.gang else 1
        return lost * max(spec.cpus, 0.01) * size * (1 + placement.job.stopped)

    def clear_out(self, machine: Machine, job: Job, now: timedelta) -> tuple[float, list[Placement]] | None:
        """The cheapest set of tasks to stop so that one task of the job fits, and what is lost with them."""
        # Most machines hold too little that may be stopped: that is seen without a look at each task.
        if not machine.leaving and not self.room_below(machine, job.level + job.guaranteed).holds(job.need):
            return None
        room = machine.free.copy()
        victims: list[Placement] = []
        loss = 0.0
        stoppable = []
        for placement in machine.placements.values():
            if placement.stopping:
                room.add(placement.job.need)  # it is on its way out already
            elif placement.phase is not Phase.SENT and self.may_stop(placement.job, job):
                stoppable.append((self._loss(placement, now), placement.key, placement))
        if room.holds(job.need):
            return 0.0, victims
        for lost, _, placement in sorted(stoppable, key=lambda one: one[:2]):
            victims.append(placement)
            loss += lost
            room.add(placement.job.need)
            if room.holds(job.need):
                return loss, victims
        return None

    def patience(self, job: Job) -> timedelta:
        """How long a job waits before room is made by force: a third of what can be spared.

        What can't: stopping and starting each take until the next heartbeat, and then the image is fetched.
        """
        slack = self._objectives.start_within(job) - LEAD_HEARTBEATS * self._heartbeat - self._shard.least_fetch(job)
        return max(ZERO, slack / PATIENCE)

    def make_room_for_gang(self, job: Job, tasks: int, now: timedelta) -> None:
        """Stop what is cheapest so that a gang which has waited long enough fits."""
        if now - job.since < self.patience(job):
            return
        options: list[tuple[float, str, Machine, list[Placement]]] = []
        for machine in self.candidates(job, now):
            if machine.reserved_for not in (None, job.ref):
                continue
            plan = self.clear_out(machine, job, now)
            if plan is not None:
                options.append((plan[0], machine.name, machine, plan[1]))
        self.clear(job, tasks, options, now)

    def clear(
        self, job: Job, tasks: int, options: list[tuple[float, str, Machine, list[Placement]]], now: timedelta
    ) -> bool:
        """Stop what is cheapest to stop on as many machines as a gang needs; whether there are so many.

        Machines that are held for it already come first: else every round would make room on others, and more than
        the gang has use for.
        """
        options.sort(key=lambda one: (one[2].reserved_for != job.ref, *one[:2]))
        if job.spec.together and options:
            zones: dict[str, list] = {}
            for one in options:
                zones.setdefault(one[2].zone, []).append(one)
            enough = [group[:tasks] for group in zones.values() if len(group) >= tasks]
            options = min(enough, key=lambda group: sum(one[0] for one in group)) if enough else []
        if len(options) < tasks:
            return False
        for _, _, machine, victims in options[:tasks]:
            machine.reserved_for, machine.reserved_until = job.ref, now + GANG_HELD
            for victim in victims:
                self._preempt(victim, job)
        return True

    def _preempt(self, victim: Placement, job: Job) -> None:
        spec = victim.job.spec
        grace = timedelta(seconds=spec.save_s) if spec.checkpoint_s else ZERO
        log.debug(
            "event=task_preempted task=%s/%d machine=%s for=%s",
            victim.job.ref,
            victim.index,
            victim.machine.name,
            job.ref,
        )
        if spec.gang:
            victim.job.stopped += 1
            self._shard.stop_gang(victim.job, grace)
        else:
            self._shard.stop(victim, grace)

    def make_room_for_arrays(self, now: timedelta, over: Callable[[], bool]) -> None:
        """Give a team its guarantee, and higher levels their place, at the cost of work that may be stopped.

        A round that runs out of time goes on with the next job: with 2,000 waiting jobs on 4,000 machines one pass
        took almost four seconds, in which no heartbeat was answered.
        """
        if not self._shard.reconciled:
            return
        self._order.refresh(now)
        coming = sum(machine.leaving for machine in self._shard.machines.values())  # room on its way already
        stops_left = MAX_STOPS_PER_ROUND
        jobs = self._order.jobs
        for position in range(min(self._cursor, len(jobs)), len(jobs)):
            if over():
                self._cursor = position
                self.cut_short += 1
                return
            wanted = self._array_tasks_lacking_room(jobs[position], stops_left, now)
            if wanted > coming:
                stopped = self._stop_for_array(jobs[position], wanted - coming, now)
                stops_left -= stopped
                coming += stopped
            if stops_left <= 0:
                break
        self._cursor = 0

    def _array_tasks_lacking_room(self, job: Job, most: int, now: timedelta) -> int:
        """How many tasks of an array have waited long enough for others to be stopped, and find no free room."""
        patience = self.patience(job)
        if job.gang or job.failing or now - job.since < patience or self._order.yields_to_gang(job):
            return 0
        bits = job.waiting_bits
        if not bits or now - min(job.requeued.get(lowest(bits), job.since), now) < patience:
            return 0
        wanted = min(bits.bit_count(), self._shard.fits_quota(job, most), most)
        for machine in self.candidates(job, now, free=True):
            if wanted <= 0:
                break
            wanted -= machine.free.times(job.need)
        return wanted

    def _stop_for_array(self, job: Job, wanted: int, now: timedelta) -> int:
        options = []
        for machine in self.candidates(job, now):
            if machine.reserved_for is None:
                plan = self.clear_out(machine, job, now)
                if plan is not None and plan[1]:
                    uncached = (
                        delay_scheduling.locality_of(job, machine, self._order.images)
                        is not delay_scheduling.LocalityLevel.CACHED
                    )
                    options.append((uncached, plan[0], machine.name, machine, plan[1]))
        options.sort(key=lambda one: one[:3])
        for _, _, _, machine, victims in options[:wanted]:
            machine.reserved_for = job.ref
            machine.reserved_until = now + HELD
            for victim in victims:
                self._preempt(victim, job)
        return min(wanted, len(options))

    def release_holds(self, now: timedelta) -> None:
        """Give up room that was made for a job which has no use for it any more.

        A gang that was passed on, or fitted elsewhere, once left its machines held for ever: idle, and never returned.
        """
        for machine in self._shard.machines.values():
            if machine.reserved_for is not None:
                holder = self._shard.jobs.get(machine.reserved_for)
                late = machine.reserved_until is not None and now > machine.reserved_until
                if late or holder is None or not holder.waiting_bits:
                    machine.reserved_for = machine.reserved_until = None

    def room_without(self, level: int) -> list[tuple[Machine, Resources]]:
        """What each machine could offer a job of a level: its free room and that of work which may be stopped."""
        machines = []
        for machine in self._shard.machines.values():
            if machine.usable and machine.reserved_for is None:
                machines.append((machine, self.room_below(machine, level)))
        return machines

    def room_beside_images(self, level: int, most: int) -> dict[str, list[float]]:
        """For each image, the processors that machines which cache it could offer a job of a level, most first."""
        found: dict[str, list[float]] = {}
        for machine, room in self.room_without(level):
            if 2 * room.cpus >= machine.kind.cpus:
                for image in machine.images:
                    found.setdefault(image, []).append(room.cpus)
        return {image: sorted(rooms, reverse=True)[:most] for image, rooms in found.items()}

    @staticmethod
    def room_below(machine: Machine, level: int) -> Resources:
        """A machine's free room, and that of work below a level."""
        room = machine.free.copy()
        for other, held in machine.allocated_by_level.items():
            if other < level:
                room.add(held)
        return room
