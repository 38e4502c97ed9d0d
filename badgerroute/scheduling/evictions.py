"""Finds the tasks that could be stopped for a job, their machines and the cost; `preemption` decides which to stop."""

from dataclasses import dataclass
from datetime import timedelta
from operator import itemgetter

from badgerroute.scheduling.model import ZERO, Job, Machine, Placement
from badgerroute.scheduling.placement_constraints import allows
from badgerroute.scheduling.resources import EPSILON, Resources
from badgerroute.scheduling.service_order import ServiceOrder
from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.task_phase import Phase

MIN_CPUS_COUNTED = 0.01  # lower bound per task, so that stopping a task that uses almost no processors has a cost


@dataclass(frozen=True, slots=True)
class Eviction:
    """The tasks to stop on a machine so that one task of a job fits there."""

    machine: Machine
    victims: list[Placement]
    loss: float  # work lost by stopping the victims, in processor-seconds


class EvictionPlanner:
    """Finds the machines of one shard on which a job could run, and the tasks to stop on them to make room for it."""

    def __init__(self, shard: Shard, order: ServiceOrder) -> None:
        self._shard, self._order = shard, order

    def candidates(self, job: Job, now: timedelta, with_free_cpus: bool = False) -> list[Machine]:
        """Machines that may run the job; with `with_free_cpus`, only those with enough free processors for a task."""
        spec, min_free_cpus = job.spec, job.task_resources.cpus - EPSILON if with_free_cpus else -1.0
        return [
            machine
            for machine in self._shard.machines.values()
            if machine.free.cpus >= min_free_cpus
            and machine.usable
            and machine.avoid_until <= now
            and machine.name not in job.failed_on
            and job.no_return_until.get(machine.name, ZERO) <= now
            and allows(spec, machine.machine_type.name, machine.zone, machine.spot)
        ]

    def may_stop(self, victim: Job, job: Job) -> bool:
        """Whether a victim's tasks may be stopped for a job.

        The job must be of a higher priority class, and of another team if both have the same level. The priority class
        also decides which of two jobs starts first. If the rules for starting and stopping differed, two jobs could
        stop each other in turn and neither would ever complete.
        """
        if self._order.priority_class(job) >= self._order.priority_class(victim):
            return False
        return victim.level < job.level or victim.spec.team != job.spec.team

    @staticmethod
    def _loss(placement: Placement, now: timedelta) -> float:
        """The cost of stopping a task, in processor-seconds.

        It is the work that the task would lose or, if the task does not run yet, the time since its start was
        requested. The cost grows with each earlier preemption of the task's gang. A gang costs least to stop while it
        fetches its image. Without the growing cost, it might be stopped during each fetch and never run.
        """
        spec = placement.job.spec
        if placement.running_since is None:
            lost_s = (now - placement.start_requested_at).total_seconds()
        else:
            run_s = (now - placement.running_since).total_seconds()
            lost_s = min(run_s, spec.save_s + 1.0) if spec.checkpoint_s else run_s
        tasks = len(placement.job.placements) if spec.gang else 1
        return lost_s * max(spec.cpus, MIN_CPUS_COUNTED) * tasks * (1 + placement.job.preemption_count)

    def cheapest(self, machine: Machine, job: Job, now: timedelta) -> Eviction | None:
        """Find the cheapest tasks to stop on a machine so that one task of the job fits.

        The eviction has no victims if the tasks that are already stopping free enough capacity. Return None if the task
        would not fit even after every task that may be stopped was stopped.
        """
        # On most machines, the tasks below the job's level use so little that stopping them would not make room for the
        # job. The sums per level show this without iterating over the tasks.
        if not machine.stopping_count and not machine.reclaimable(job.level + job.guaranteed).holds(job.task_resources):
            return None
        available = machine.free.copy()
        stoppable = []
        for placement in machine.placements.values():
            if placement.stopping:
                available.add(placement.job.task_resources)
            elif placement.phase is not Phase.SENT and self.may_stop(placement.job, job):
                stoppable.append((self._loss(placement, now), placement.key, placement))
        victims: list[Placement] = []
        if available.holds(job.task_resources):
            return Eviction(machine, victims, 0.0)
        total_loss = 0.0
        for loss, _, placement in sorted(stoppable, key=itemgetter(0, 1)):
            victims.append(placement)
            total_loss += loss
            available.add(placement.job.task_resources)
            if available.holds(job.task_resources):
                return Eviction(machine, victims, total_loss)
        return None

    def reclaimable_by_machine(self, level: int) -> list[tuple[Machine, Resources]]:
        """The capacity that each usable machine could offer to a job of a level. Reserved machines are left out."""
        return [
            (machine, machine.reclaimable(level))
            for machine in self._shard.machines.values()
            if machine.usable and machine.reserved_for is None
        ]

    def reclaimable_cpus_by_image(self, level: int, max_machines: int) -> dict[str, list[float]]:
        """For each image, the processors that each machine caching it could offer to a job of a level, largest first.

        Machines that could offer less than half of their processors are left out. At most `max_machines` machines are
        listed per image.
        """
        cpus_by_image: dict[str, list[float]] = {}
        for machine, resources in self.reclaimable_by_machine(level):
            if 2 * resources.cpus >= machine.machine_type.cpus:
                for image in machine.images:
                    cpus_by_image.setdefault(image, []).append(resources.cpus)
        return {image: sorted(cpus, reverse=True)[:max_machines] for image, cpus in cpus_by_image.items()}
