"""Rounds of decisions for one shard: fill a machine whose heartbeat came, place gangs, make room, apply feedback."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.scheduling import delay_scheduling, utilization_feedback
from badgerroute.scheduling.array_placement import ArrayPlacement
from badgerroute.scheduling.gang_placement import GangPlacement
from badgerroute.scheduling.model import Job, Machine
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.placement_rules import PlacementRules
from badgerroute.scheduling.preemption import Preemption
from badgerroute.scheduling.resources import Resources
from badgerroute.scheduling.service_order import ServiceOrder
from badgerroute.scheduling.shard import Shard
from badgerroute.settings import Scheduling


@dataclass(slots=True)
class Shape:
    """Waiting tasks of one kind: what the fleet and the other shards need to know of them."""

    ref: str
    team: str
    need: Resources
    count: int
    gang: bool
    level: int
    guaranteed: bool
    waited: timedelta
    job: Job


class Planner:
    """What a leader asks of its shard: see the modules that it is made of."""

    def __init__(
        self, shard: Shard, settings: Scheduling, objectives: Objectives, heartbeat: timedelta = timedelta(seconds=1)
    ) -> None:
        self.shard = shard
        self._settings = settings
        self._order = ServiceOrder(shard, objectives)
        self._rules = PlacementRules(shard, self._order, settings, objectives, heartbeat)
        self._preemption = Preemption(shard, self._order, objectives, heartbeat)
        self._gangs = GangPlacement(shard, self._order, self._rules, self._preemption, objectives, heartbeat)
        self._arrays = ArrayPlacement(shard, self._order, self._rules, self._preemption)

    def rank(self, job: Job) -> tuple[float, float, float]:
        """See ServiceOrder."""
        return self._order.rank(job)

    def run_time(self, job: Job) -> timedelta:
        """How long a task of the job is expected to run."""
        return self._order.run_time(job)

    def waiting_jobs(self, now: timedelta) -> list[Job]:
        """Jobs that wait, in the order of service."""
        self._order.refresh(now)
        return self._order.jobs

    def may_stop(self, victim: Job, job: Job) -> bool:
        """See Preemption."""
        return self._preemption.may_stop(victim, job)

    def candidates(self, job: Job, now: timedelta, free: bool = False) -> list[Machine]:
        """See Preemption."""
        return self._preemption.candidates(job, now, free)

    def fill(self, machine: Machine, now: timedelta, over: Callable[[], bool]) -> int:
        """See ArrayPlacement."""
        return self._arrays.fill(machine, now, over)

    def gangs(self, now: timedelta, over: Callable[[], bool]) -> int:
        """Place gangs in a round of their own."""
        return self._gangs.place(now, over)

    def gangs_on(self, machine: Machine, now: timedelta, over: Callable[[], bool]) -> int:
        """Place gangs on a machine's heartbeat."""
        return self._gangs.place_on(machine, now, over)

    def unplaceable_gangs(self, now: timedelta) -> list[Job]:
        """See GangPlacement."""
        return self._gangs.unplaceable_gangs(now)

    def make_room_for_arrays(self, now: timedelta, over: Callable[[], bool]) -> None:
        """See Preemption."""
        self._preemption.make_room_for_arrays(now, over)

    def release_holds(self, now: timedelta) -> None:
        """See Preemption."""
        self._preemption.release_holds(now)

    def room_without(self, level: int) -> list[tuple[Machine, Resources]]:
        """See Preemption."""
        return self._preemption.room_without(level)

    def room_beside_images(self, level: int, most: int) -> dict[str, list[float]]:
        """See Preemption."""
        return self._preemption.room_beside_images(level, most)

    @property
    def cut_short(self) -> int:
        """Rounds that ran out of time."""
        return self._gangs.cut_short + self._arrays.cut_short + self._preemption.cut_short

    def take_shortages(self) -> dict[str, Resources]:
        """What teams lacked of their limits in the last rounds; asked for once."""
        short, self._rules.short_of_quota = self._rules.short_of_quota, {}
        return short

    def feedback(self, now: timedelta) -> None:
        """Sample every job, and give those whose period is over their next desire."""
        for job in self.shard.jobs.values():
            if job.period_began is None:
                continue
            utilization_feedback.sample(job, job.waiting_bits.bit_count())
            if now - job.period_began >= self._settings.period:
                utilization_feedback.end_period(job, now, self._settings)

    def shapes(self, now: timedelta) -> list[Shape]:
        """The waiting tasks by job."""
        shapes = []
        for job in self.shard.jobs.values():
            count = job.startable
            if count and job.blocked_until <= now:
                shapes.append(
                    Shape(
                        job.ref,
                        job.spec.team,
                        job.need,
                        count,
                        job.spec.gang,
                        job.level,
                        job.guaranteed,
                        now - job.since,
                        job,
                    )
                )
        return shapes

    def freeing(self, now: timedelta) -> float:
        """Processors of array tasks that should end before a new machine could boot and fetch an image."""
        total = 0.0
        for job in self.shard.jobs.values():
            if job.gang or not job.placed:
                continue
            run = delay_scheduling.run_time(job, self.shard.estimates.correction(job.spec.job_class))
            before: dict[str, timedelta] = {}  # machine type -> what runs since then will have ended
            for placement in job.placed.values():
                since = placement.running_since
                if since is None:
                    continue
                kind = placement.machine.kind
                latest = before.get(kind.name)
                if latest is None:
                    ready = timedelta(seconds=kind.boot_s) + delay_scheduling.fetch_time(job, placement.machine)
                    latest = before[kind.name] = now + ready - run
                if since < latest:
                    total += job.need.cpus
        return total
