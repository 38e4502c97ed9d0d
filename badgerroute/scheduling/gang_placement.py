"""Gangs: placed whole in one round, beside their image if they can be."""

import logging
from collections.abc import Callable
from datetime import timedelta

from badgerroute.scheduling import delay_scheduling
from badgerroute.scheduling.model import ZERO, Job, Machine
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.placement_rules import FETCH_SPREAD, PlacementRules
from badgerroute.scheduling.preemption import Preemption
from badgerroute.scheduling.service_order import ServiceOrder
from badgerroute.scheduling.shard import Shard
from badgerroute.scheduling.task_phase import Phase
from badgerroute.storage.records import lowest

log = logging.getLogger(__name__)
MANY = 1000.0  # more images than a machine caches


class GangPlacement:
    """Places the gangs of one shard, on heartbeats and in rounds of their own."""

    def __init__(
        self,
        shard: Shard,
        order: ServiceOrder,
        rules: PlacementRules,
        preemption: Preemption,
        objectives: Objectives,
        heartbeat: timedelta,
    ) -> None:
        self._shard, self._order, self._rules, self._preemption = shard, order, rules, preemption
        self._objectives, self._heartbeat = objectives, heartbeat
        self._cursor = 0
        self.cut_short = 0  # rounds that ran out of time

    def place_on(self, machine: Machine, now: timedelta, over: Callable[[], bool]) -> int:
        """Place the gangs for which a machine that reports may have been missing. Room is made in rounds only."""
        if not self._shard.reconciled or not machine.usable:
            return 0
        self._order.refresh(now)
        placed = 0
        for job in self._order.jobs:
            if job.gang and not job.placed and machine.free.holds(job.need) and job.waiting_bits:
                if machine.reserved_for not in (None, job.ref):
                    continue
                if over():
                    self.cut_short += 1
                    return placed
                placed += self._place_gang(job, now, make_room=False)
        return placed

    def place(self, now: timedelta, over: Callable[[], bool]) -> int:
        """Place waiting gangs, each whole or not at all."""
        if not self._shard.reconciled:
            return 0
        self._order.refresh(now)
        waiting = [job for job in self._order.jobs if job.gang and not job.placed and job.waiting_bits]
        if self._cursor >= len(waiting):
            self._cursor = 0
        placed = 0
        for position in range(self._cursor, len(waiting)):
            if over():
                self.cut_short += 1
                self._cursor = position
                return placed
            placed += self._place_gang(waiting[position], now, make_room=True)
        self._cursor = 0
        return placed

    def _place_gang(self, job: Job, now: timedelta, make_room: bool) -> bool:
        tasks = job.waiting_bits.bit_count()
        if self._shard.fits_quota(job, tasks) < tasks:
            self._rules.lacks(job, tasks)
            return False
        wait = now - job.since
        options: list[tuple[int, float, float, float, Machine]] = []
        blocked_by_locality = False
        for machine in self._preemption.candidates(job, now, free=True):
            if not machine.free.holds(job.need) or machine.reserved_for not in (None, job.ref):
                continue
            locality = delay_scheduling.locality_of(job, machine, self._order.images)
            if locality > self._rules.allowed(job, machine, wait):
                blocked_by_locality = True
                continue
            # Where it must be fetched, on the machine with the fewest images: the others are worth more to others.
            # One that fetches already shares its rate.
            spoilt = 0.0
            if locality is not delay_scheduling.LocalityLevel.CACHED:
                spoilt = len(machine.images) + (MANY if machine.fetches() else 0.0)
            # Among equals, on the one whose heartbeat is due first: the start goes out in the answer to it.
            due = machine.heard.total_seconds() if machine.heard is not None else 0.0
            options.append((locality, spoilt, machine.free.cpus, due, machine))
        chosen = self._choose(job, tasks, options)
        if chosen is None:
            if make_room and not blocked_by_locality and not job.failing:
                self._preemption.make_room_for_gang(job, tasks, now)
            return False
        if not job.failing and self._better_beside_image(job, tasks, chosen, wait, now):  # it waits for room there
            return False
        attempt = self._shard.next_attempt()
        log.debug(
            "event=gang_placed job=%s machines=%s waited=%.1f cached=%d",
            job.ref,
            ",".join(machine.name for machine in chosen),
            wait.total_seconds(),
            sum(job.spec.image in machine.images for machine in chosen),
        )
        job.gang_attempt = attempt
        bits = job.waiting_bits
        for machine in chosen:
            index = lowest(bits)
            bits &= bits - 1
            self._shard.place(job, index, attempt, machine, now, Phase.RESERVED)
        for machine in self._shard.machines.values():
            if machine.reserved_for == job.ref:
                machine.reserved_for = None
        return True

    def _choose(
        self, job: Job, tasks: int, options: list[tuple[int, float, float, float, Machine]]
    ) -> list[Machine] | None:
        """Machines for all tasks of a gang: nearest image first, then the tightest fit."""
        options = sorted(options, key=lambda one: (*one[:4], one[4].name))
        if not job.spec.together:
            return self._take(job, tasks, [option[4] for option in options])
        zones = dict.fromkeys(option[4].zone for option in options)
        for zone in zones:
            chosen = self._take(job, tasks, [option[4] for option in options if option[4].zone == zone])
            if chosen is not None:
                return chosen
        return None

    @staticmethod
    def _take(job: Job, tasks: int, machines: list[Machine]) -> list[Machine] | None:
        chosen: list[Machine] = []
        per_zone: dict[str, int] = {}
        most = (job.spec.tasks + 1) // 2 if job.spec.spread else tasks
        for machine in machines:
            for _ in range(machine.free.times(job.need)):
                if len(chosen) == tasks:
                    return chosen
                if per_zone.get(machine.zone, 0) >= most:
                    break
                per_zone[machine.zone] = per_zone.get(machine.zone, 0) + 1
                chosen.append(machine)
        return chosen if len(chosen) == tasks else None

    def _better_beside_image(
        self, job: Job, tasks: int, chosen: list[Machine], wait: timedelta, now: timedelta
    ) -> bool:
        """Make room on machines that cache the image, where fetching it would come too late and cost no less."""
        fetch = max(
            (delay_scheduling.fetch_time(job, machine) for machine in chosen if job.spec.image not in machine.images),
            default=ZERO,
        )
        # A gang starts with its last machine, whose fetch is slow; the start goes out in the answer to its next
        # heartbeat.
        if fetch == ZERO or wait + self._heartbeat + fetch * FETCH_SPREAD <= self._objectives.start_within(job):
            return False
        options = []
        for machine in self._preemption.candidates(job, now):
            if job.spec.image in machine.images and machine.reserved_for in (None, job.ref):
                plan = self._preemption.clear_out(machine, job, now)
                if plan is not None and plan[0] <= job.need.cpus * fetch.total_seconds():
                    options.append((plan[0], machine.name, machine, plan[1]))
        return self._preemption.clear(job, tasks, options, now)

    def unplaceable_gangs(self, now: timedelta) -> list[Job]:
        """Gangs that have waited long and for which no room could be made in this shard."""
        holders = {machine.reserved_for for machine in self._shard.machines.values()}
        return [
            job
            for job in self._order.jobs
            if job.gang
            and not job.placed
            and not job.failing
            and job.ref not in holders
            and job.waiting_bits
            and now - job.since >= self._preemption.patience(job)
            and not self._lacks_quota(job)  # else no other shard could place it either
        ]

    def _lacks_quota(self, job: Job) -> bool:
        return self._shard.fits_quota(job, job.spec.tasks) < job.spec.tasks
