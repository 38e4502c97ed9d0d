"""Scheduling rounds for one shard: start tasks on a heartbeat, place gangs, preempt, compute utilization feedback.

A facade over the other modules. The paper's algorithms are in `array_placement` and `delay_scheduling` (Parades),
`stealing` (SENDSTEAL) and `utilization_feedback` (Af); `gang_placement` and `preemption` are additions.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.scheduling import delay_scheduling, utilization_feedback
from badgerroute.scheduling.array_placement import ArrayPlacement
from badgerroute.scheduling.evictions import EvictionPlanner
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
class WaitingDemand:
    """The waiting tasks of a job, as reported to the autoscaler and to the other shards."""

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
    """The scheduling operations that a leader calls. `out_of_time` arguments return true when the round must end."""

    def __init__(
        self, shard: Shard, settings: Scheduling, objectives: Objectives, heartbeat: timedelta = timedelta(seconds=1)
    ) -> None:
        self.shard = shard
        self._settings = settings
        self._order = ServiceOrder(shard, objectives)
        self._rules = PlacementRules(shard, self._order, settings, objectives, heartbeat)
        self._evictions = EvictionPlanner(shard, self._order)
        self._preemption = Preemption(
            shard,
            order=self._order,
            rules=self._rules,
            evictions=self._evictions,
            objectives=objectives,
            heartbeat=heartbeat,
        )
        self._gangs = GangPlacement(
            shard,
            order=self._order,
            rules=self._rules,
            evictions=self._evictions,
            preemption=self._preemption,
            objectives=objectives,
            heartbeat=heartbeat,
        )
        self._arrays = ArrayPlacement(shard, self._order, self._rules, self._evictions)

    def rank(self, job: Job) -> tuple[float, float, float]:
        """The job's position in the order of service; see `ServiceOrder.rank`."""
        return self._order.rank(job)

    def run_time(self, job: Job) -> timedelta:
        """The expected run time of a task of the job."""
        return self._order.run_time(job)

    def waiting_jobs(self, now: timedelta) -> list[Job]:
        """Jobs with waiting tasks, in the order of service."""
        self._order.refresh(now)
        return self._order.jobs

    def may_stop(self, victim: Job, job: Job) -> bool:
        """Whether a job may preempt another; see `EvictionPlanner.may_stop`."""
        return self._evictions.may_stop(victim, job)

    def candidates(self, job: Job, now: timedelta, free: bool = False) -> list[Machine]:
        """Machines that may run the job; see `EvictionPlanner.candidates`."""
        return self._evictions.candidates(job, now, free)

    def fill_machine(self, machine: Machine, now: timedelta, out_of_time: Callable[[], bool]) -> int:
        """Start array tasks on a machine; see `ArrayPlacement.fill`."""
        return self._arrays.fill(machine, now, out_of_time)

    def place_gangs(self, now: timedelta, out_of_time: Callable[[], bool]) -> int:
        """Place waiting gangs, with preemption; see `GangPlacement.place`."""
        return self._gangs.place(now, out_of_time)

    def place_gangs_on(self, machine: Machine, now: timedelta, out_of_time: Callable[[], bool]) -> int:
        """Place gangs on a machine's heartbeat, without preemption; see `GangPlacement.place_on`."""
        return self._gangs.place_on(machine, now, out_of_time)

    def unplaceable_gangs(self, now: timedelta) -> list[Job]:
        """Gangs that this shard can't place, even with preemption; see `GangPlacement.unplaceable_gangs`."""
        return self._gangs.unplaceable_gangs(now)

    def preempt_for_arrays(self, now: timedelta, out_of_time: Callable[[], bool]) -> None:
        """Stop tasks to make room for arrays; see `Preemption.preempt_for_arrays`."""
        self._preemption.preempt_for_arrays(now, out_of_time)

    def release_reservations(self, now: timedelta) -> None:
        """Release expired or unneeded reservations; see `Preemption.release_reservations`."""
        self._preemption.release_reservations(now)

    def reclaimable_by_machine(self, level: int) -> list[tuple[Machine, Resources]]:
        """The capacity that machines could offer to a job of a level; see `EvictionPlanner.reclaimable_by_machine`."""
        return self._evictions.reclaimable_by_machine(level)

    def reclaimable_cpus_by_image(self, level: int, max_machines: int) -> dict[str, list[float]]:
        """Reclaimable processors by cached image; see `EvictionPlanner.reclaimable_cpus_by_image`."""
        return self._evictions.reclaimable_cpus_by_image(level, max_machines)

    @property
    def overrun_rounds(self) -> int:
        """The number of rounds that ran out of time."""
        return self._gangs.overrun_rounds + self._arrays.overrun_rounds + self._preemption.overrun_rounds

    def collect_quota_shortfalls(self) -> dict[str, Resources]:
        """For each team, the quota that its jobs lacked in the rounds since the last call."""
        shortfalls, self._rules.quota_shortfalls = self._rules.quota_shortfalls, {}
        return shortfalls

    def tasks_that_quota_would_start(self, job: Job, now: timedelta) -> int:
        """How many waiting tasks of a job could start here now if the team's quota sufficed.

        A job that waits for something else than quota has no use for it: an array that yields to a gang, a gang that
        lacks machines or of which some tasks are still on machines, or a job whose tasks are held back after failures.
        """
        self._order.refresh(now)
        if job.blocked_until > now or self._order.yields_to_gang(job):
            return 0
        if job.gang:
            return job.startable if not job.placements and self._order.has_room(job) else 0
        return self._preemption.startable_array_tasks(job, now)

    def update_desires(self, now: timedelta) -> None:
        """Record how many tasks each job runs and how many wait, for the utilization feedback.

        When a job's feedback period has ended, compute its number of desired slots for the next one.
        """
        for job in self.shard.jobs.values():
            if job.period_began is None:
                continue
            utilization_feedback.sample(job, job.waiting_bits.bit_count())
            if now - job.period_began >= self._settings.period:
                utilization_feedback.end_period(job, now, self._settings)

    def waiting_demands(self, now: timedelta) -> list[WaitingDemand]:
        """Return, for each job with waiting tasks that may start now, their number and the resources of each task."""
        demands = []
        for job in self.shard.jobs.values():
            count = job.startable
            if count and job.blocked_until <= now:
                demands.append(
                    WaitingDemand(
                        job.ref,
                        job.spec.team,
                        job.task_resources,
                        count,
                        job.spec.gang,
                        job.level,
                        job.guaranteed,
                        now - job.waiting_since,
                        job,
                    )
                )
        return demands

    def soon_free(self, now: timedelta) -> Resources:
        """The resources of array tasks that should end before a newly rented machine could start a task.

        Such a machine must first boot and fetch the job's image.
        """
        total = Resources()
        for job in self.shard.jobs.values():
            if job.gang or not job.placements:
                continue
            run = delay_scheduling.run_time(job, self.shard.estimates.correction(job.spec.job_class))
            # Machine type -> time. Tasks that began to run before that time should end before a new machine is ready.
            latest_starts: dict[str, timedelta] = {}
            for placement in job.placements.values():
                running_since = placement.running_since
                if running_since is None:
                    continue
                machine_type = placement.machine.machine_type
                latest_start = latest_starts.get(machine_type.name)
                if latest_start is None:
                    startup = timedelta(seconds=machine_type.boot_s) + delay_scheduling.fetch_time(
                        job, placement.machine
                    )
                    latest_start = latest_starts[machine_type.name] = now + startup - run
                if running_since < latest_start:
                    total.add(job.task_resources)
        return total
