"""Rounds of decisions for one part: fill a machine that reports, place gangs, make room, apply feedback."""

import heapq
import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from itertools import groupby
from math import inf

from badgerroute.scheduling import af, ladder
from badgerroute.scheduling.model import EPSILON, ZERO, Job, Machine, Phase, Placement, Room, allows
from badgerroute.scheduling.objectives import Objectives
from badgerroute.scheduling.part import Part
from badgerroute.settings import Scheduling
from badgerroute.storage.records import lowest

log = logging.getLogger("badgerroute.planner")
ORDER_KEPT = timedelta(milliseconds=250)
HELD = timedelta(seconds=6)  # how long room that was made for an array waits for its tasks
GANG_HELD = timedelta(seconds=30)  # and for a gang, whose tasks save before they go
BESIDE = timedelta(seconds=6)  # how long a small task passes by an empty machine for one in use
FETCH_SPREAD = 1.3  # fetches take up to a third longer than the machine type's rate says
LEAD_REPORTS = 3  # reports that pass between the decision to make room and the start in it
PATIENCE = 3
MANY = 1000.0  # more images than a machine caches


@dataclass(slots=True)
class Shape:
    """Waiting tasks of one kind: what the fleet and the other parts need to know of them."""

    ref: str
    team: str
    need: Room
    count: int
    gang: bool
    level: int
    guaranteed: bool
    waited: timedelta
    job: Job


class Planner:
    def __init__(
        self, part: Part, settings: Scheduling, objectives: Objectives, report: timedelta = timedelta(seconds=1)
    ) -> None:
        self.part = part
        self._report = report
        self._settings, self._objectives = settings, objectives
        self._order: list[Job] = []
        self._tiers: dict[str, float] = {}
        self._ordered_at = -timedelta(days=1)
        self._least = Room()  # no array task that waits takes less than this
        self._images = ladder.ImageLocations([])
        self._gang_cursor = 0
        self._fill_cursor = 0
        self.short_of_share: dict[str, Room] = {}  # what teams lacked in the last rounds
        self.cut_short = 0  # rounds that ran out of time

    # -- order

    def _refresh(self, now: timedelta) -> None:
        if now - self._ordered_at < ORDER_KEPT:
            return
        self._ordered_at = now
        self._images = ladder.ImageLocations(self.part.machines.values())
        waiting = [job for job in self.part.jobs.values() if job.waiting_bits and job.blocked_until <= now]
        for job in waiting:
            self.part.forgive(job, now)
        self._tiers = {job.ref: self._tier(job, now) for job in waiting}
        waiting.sort(key=lambda job: (self._group(job), job.accepted))
        self._order = waiting
        arrays = [job.need for job in waiting if not job.gang]
        self._least = Room(
            min((one.cpus for one in arrays), default=inf), 0.0, min((one.memory_gb for one in arrays), default=inf)
        )

    def _tier(self, job: Job, now: timedelta) -> float:
        return job.tier if job.tier < 0 else max(job.tier, self._objectives.missed(job, now, self._run_time(job)))

    def _run_time(self, job: Job) -> timedelta:
        return ladder.run_time(job, self.part.estimates.correction(job.spec.job_class))

    def _group(self, job: Job) -> tuple[int, bool, float]:
        """Jobs among which the least held goes first: alike in class, and in how late they must be already.

        What can still be done in time comes before what can't: a late job gains nothing by being less late.
        """
        return (*self._class(job), self._tiers.get(job.ref, 0))

    def rank(self, job: Job) -> tuple[float, float, float]:
        """Where a job stands in the order of service, which is the same in all parts: less comes first."""
        return float(-job.level), float(not job.guaranteed), float(self._tiers.get(job.ref, job.tier))

    @staticmethod
    def _class(job: Job) -> tuple[int, bool]:
        return (-job.level, not job.guaranteed)

    def _held(self, job: Job) -> float:
        return len(job.placed) * (job.need.cpus + 8 * job.need.accelerators)

    # -- arrays: on every report of a machine

    def fill(self, machine: Machine, now: timedelta, over: Callable[[], bool]) -> int:
        """Start array tasks in a machine's free room. `over` tells when the round's time is up."""
        part = self.part
        if not part.settled or not machine.usable or machine.avoid_until > now:
            return 0
        self._refresh(now)
        if not machine.free.holds(self._least):
            return 0
        spared = self._room_beside(machine) if not machine.placements and machine.held_for is None else None
        order = (
            self._order[self._fill_cursor :] + self._order[: self._fill_cursor] if self._fill_cursor else self._order
        )
        started, looked = 0, 0
        for beyond in (False, True):  # first within the jobs' desires; what is then left over, to any
            for _, members in groupby(order, key=self._group):
                if not machine.free.holds(self._least):
                    self._fill_cursor = 0
                    return started
                jobs = [job for job in members if not job.gang and job.waiting_bits]
                if over():
                    self.cut_short += 1
                    self._fill_cursor = (self._fill_cursor + looked) % max(1, len(self._order))
                    return started
                looked += len(jobs)
                if machine.held_for is not None:
                    jobs = self._outranking(machine, jobs, now)
                if spared is not None:
                    jobs = [job for job in jobs if not self._fits_beside(job, spared, now)]
                started += self._fill_class(machine, jobs, now, beyond)
        self._fill_cursor = 0
        return started

    def _room_beside(self, machine: Machine) -> list[Machine]:
        """Machines in use with room left. Small tasks go there first, so that whole machines stay free for gangs."""
        return [
            one
            for one in self.part.machines.values()
            if one.placements and one.usable and one.held_for is None and one.zone == machine.zone
        ]

    def _fits_beside(self, job: Job, machines: list[Machine], now: timedelta) -> bool:
        """Whether all that waits of a job would fit on machines in use, at its report or the one after."""
        bits = job.waiting_bits
        if not bits or now - job.requeued.get(lowest(bits), job.since) > BESIDE:
            return False
        left = bits.bit_count()
        for machine in machines:
            if allows(job.spec, machine.kind.name, machine.zone, machine.spot):
                if ladder.rung_of(job, machine, self._images) is ladder.Rung.CACHED:
                    left -= machine.free.times(job.need)
                    if left <= 0:
                        return True
        return False

    def _outranking(self, machine: Machine, jobs: list[Job], now: timedelta) -> list[Job]:
        """A machine that room was made on for a job takes only that job, and what outranks it.

        Else the room would go back to the work that was just stopped, and be made again, for ever.
        """
        holder = self.part.jobs.get(machine.held_for or "")
        if holder is None or not holder.waiting_bits:
            return jobs
        return [job for job in jobs if job is holder or not self._may_stop(job, holder)]

    def _fill_class(self, machine: Machine, jobs: list[Job], now: timedelta, beyond: bool) -> int:
        started = 0
        for rung in ladder.Rung:
            queue: list[tuple[float, int, Job]] = []
            for number, job in enumerate(jobs):
                if self._eligible(job, machine, rung, now, beyond):
                    queue.append((self._held(job), number, job))
            heapq.heapify(queue)
            while queue:
                _, number, job = heapq.heappop(queue)
                if not self._start_one(job, machine, now, beyond):
                    continue
                started += 1
                heapq.heappush(queue, (self._held(job), number, job))
        return started

    def _eligible(self, job: Job, machine: Machine, rung: ladder.Rung, now: timedelta, beyond: bool) -> bool:
        spec = job.spec
        if not machine.free.holds(job.need) or not allows(spec, machine.kind.name, machine.zone, machine.spot):
            return False
        if job.failing and job.placed:
            return False
        if machine.name in job.failed_on or ladder.rung_of(job, machine, self._images) is not rung:
            return False
        if rung is not ladder.Rung.CACHED and machine.fetches(gangs_only=True):
            # Two fetches share the rate, and a whole gang would wait for it: on a machine that a gang all but fills,
            # one small task's image made its start come twice as late.
            return False
        if rung is not ladder.Rung.CACHED and machine.held_for != job.ref:
            bits = job.waiting_bits
            if not bits:
                return False
            wait = job.waited(lowest(bits), now)
            if self._allowed(job, machine, wait) < rung:
                return False
        if job.desire < 1.0:
            self._begin_desire(job, now)
        return beyond or len(job.placed) < job.desire

    def _begin_desire(self, job: Job, now: timedelta) -> None:
        af.begin(job, now, job.waiting_bits.bit_count(), self.part.room_for(job))

    def _start_one(self, job: Job, machine: Machine, now: timedelta, beyond: bool) -> bool:
        if not machine.free.holds(job.need) or (not beyond and len(job.placed) >= job.desire):
            return False
        bits = job.waiting_bits
        if not bits or (job.failing and job.placed) or not self._zone_allowed(job, machine.zone, 1):
            return False
        if not self.part.fits_share(job):
            self._lacks(job, bits.bit_count())
            return False
        index = lowest(bits)
        log.debug(
            "event=place task=%s/%d machine=%s waited=%.1f",
            job.ref,
            index,
            machine.name,
            job.waited(index, now).total_seconds(),
        )
        self.part.place(job, index, self.part.next_attempt(), machine, now, Phase.RESERVED)
        return True

    @staticmethod
    def _zone_allowed(job: Job, zone: str, more: int) -> bool:
        """`together` and `spread`, with all of the job's tasks that may be on machines in view."""
        spec = job.spec
        if spec.together and any(other != zone for other in job.zones()):
            return False
        if spec.spread and sum(other == zone for other in job.zones()) + more > (spec.tasks + 1) // 2:
            return False
        return True

    def _lacks(self, job: Job, tasks: int) -> None:
        lack = self.short_of_share.setdefault(job.spec.team, Room())
        lack.cpus = max(lack.cpus, job.need.cpus * tasks)
        lack.accelerators = max(lack.accelerators, job.need.accelerators * tasks)

    # -- gangs: in rounds of their own

    def gangs_on(self, machine: Machine, now: timedelta, over: Callable[[], bool]) -> int:
        """Place the gangs for which a machine that reports may have been missing. Room is made in rounds only."""
        if not self.part.settled or not machine.usable:
            return 0
        self._refresh(now)
        placed = 0
        for job in self._order:
            if job.gang and not job.placed and machine.free.holds(job.need) and job.waiting_bits:
                if machine.held_for not in (None, job.ref):
                    continue
                if over():
                    self.cut_short += 1
                    return placed
                placed += self._place_gang(job, now, make_room=False)
        return placed

    def _lacks_share(self, job: Job) -> bool:
        return self.part.fits_share(job, job.spec.tasks) < job.spec.tasks

    def _allowed(self, job: Job, machine: Machine, wait: timedelta) -> ladder.Rung:
        fetch = ladder.fetch_time(job, machine)
        correction = self.part.estimates.correction(job.spec.job_class)
        within = self._latest_choice(job, fetch)
        return ladder.allowed(job, wait, fetch, self._images, correction, self._settings, within)

    def gangs(self, now: timedelta, over: Callable[[], bool]) -> int:
        """Place waiting gangs, each whole or not at all."""
        if not self.part.settled:
            return 0
        self._refresh(now)
        waiting = [job for job in self._order if job.gang and not job.placed and job.waiting_bits]
        if self._gang_cursor >= len(waiting):
            self._gang_cursor = 0
        placed = 0
        for position in range(self._gang_cursor, len(waiting)):
            if over():
                self.cut_short += 1
                self._gang_cursor = position
                return placed
            placed += self._place_gang(waiting[position], now, make_room=True)
        self._gang_cursor = 0
        return placed

    def _place_gang(self, job: Job, now: timedelta, make_room: bool) -> bool:
        tasks = job.waiting_bits.bit_count()
        if self.part.fits_share(job, tasks) < tasks:
            self._lacks(job, tasks)
            return False
        wait = now - job.since
        options: list[tuple[int, float, float, float, Machine]] = []
        blocked_by_rung = False
        for machine in self._candidates(job, now, free=True):
            if not machine.free.holds(job.need) or machine.held_for not in (None, job.ref):
                continue
            rung = ladder.rung_of(job, machine, self._images)
            if rung > self._allowed(job, machine, wait):
                blocked_by_rung = True
                continue
            # Where it must be fetched, on the machine with the fewest images: the others are worth more to others.
            # One that fetches already shares its rate.
            spoilt = 0.0
            if rung is not ladder.Rung.CACHED:
                spoilt = len(machine.images) + (MANY if machine.fetches() else 0.0)
            # Among equals, on the one whose report is due first: the start goes out in the answer to it.
            due = machine.heard.total_seconds() if machine.heard is not None else 0.0
            options.append((rung, spoilt, machine.free.cpus, due, machine))
        chosen = self._choose(job, tasks, options)
        if chosen is None:
            if make_room and not blocked_by_rung and not job.failing:
                self._make_room_for_gang(job, tasks, now)
            return False
        if not job.failing and self._better_beside_image(job, tasks, chosen, wait, now):  # it waits for room there
            return False
        attempt = self.part.next_attempt()
        log.debug(
            "event=place_gang job=%s machines=%s waited=%.1f cached=%d",
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
            self.part.place(job, index, attempt, machine, now, Phase.RESERVED)
        for machine in self.part.machines.values():
            if machine.held_for == job.ref:
                machine.held_for = None
        return True

    def release_holds(self, now: timedelta) -> None:
        """Give up room that was made for a job which has no use for it any more.

        A gang that was passed on, or fitted elsewhere, once left its machines held for ever: idle, and never returned.
        """
        for machine in self.part.machines.values():
            if machine.held_for is not None:
                holder = self.part.jobs.get(machine.held_for)
                late = machine.held_until is not None and now > machine.held_until
                if late or holder is None or not holder.waiting_bits:
                    machine.held_for = machine.held_until = None

    def room_without(self, level: int) -> list[tuple[Machine, Room]]:
        """What each machine could offer a job of a level: its free room and that of work which may be stopped."""
        found = []
        for machine in self.part.machines.values():
            if machine.usable and machine.held_for is None:
                found.append((machine, self._room_below(machine, level)))
        return found

    def room_beside_images(self, level: int, most: int) -> dict[str, list[float]]:
        """For each image, the processors that machines which cache it could offer a job of a level, most first."""
        found: dict[str, list[float]] = {}
        for machine, room in self.room_without(level):
            if 2 * room.cpus >= machine.kind.cpus:
                for image in machine.images:
                    found.setdefault(image, []).append(room.cpus)
        return {image: sorted(rooms, reverse=True)[:most] for image, rooms in found.items()}

    @staticmethod
    def _room_below(machine: Machine, level: int) -> Room:
        room = machine.free.copy()
        for other, held in machine.held.items():
            if other < level:
                room.add(held)
        return room

    def freeing(self, now: timedelta) -> float:
        """Processors of array tasks that should end before a new machine could boot and fetch an image."""
        total = 0.0
        for job in self.part.jobs.values():
            if job.gang or not job.placed:
                continue
            run = ladder.run_time(job, self.part.estimates.correction(job.spec.job_class))
            before: dict[str, timedelta] = {}  # machine type -> what runs since then will have ended
            for placement in job.placed.values():
                since = placement.running_since
                if since is None:
                    continue
                kind = placement.machine.kind
                latest = before.get(kind.name)
                if latest is None:
                    ready = timedelta(seconds=kind.boot_s) + ladder.fetch_time(job, placement.machine)
                    latest = before[kind.name] = now + ready - run
                if since < latest:
                    total += job.need.cpus
        return total

    def unplaceable_gangs(self, now: timedelta) -> list[Job]:
        """Gangs that have waited long and for which no room could be made in this part."""
        holders = {one.held_for for one in self.part.machines.values()}
        return [
            job
            for job in self._order
            if job.gang
            and not job.placed
            and not job.failing
            and job.ref not in holders
            and job.waiting_bits
            and now - job.since >= self._patience(job)
            and not self._lacks_share(job)  # else no other part could place it either
        ]

    def _better_beside_image(
        self, job: Job, tasks: int, chosen: list[Machine], wait: timedelta, now: timedelta
    ) -> bool:
        """Make room on machines that cache the image, where fetching it would come too late and cost no less."""
        fetch = max((ladder.fetch_time(job, one) for one in chosen if job.spec.image not in one.images), default=ZERO)
        # A gang starts with its last machine, whose fetch is slow; the start goes out in the answer to its next report.
        if fetch == ZERO or wait + self._report + fetch * FETCH_SPREAD <= self._objectives.start_within(job):
            return False
        options = []
        for machine in self._candidates(job, now):
            if job.spec.image in machine.images and machine.held_for in (None, job.ref):
                found = self._clear_out(machine, job, now)
                if found is not None and found[0] <= job.need.cpus * fetch.total_seconds():
                    options.append((found[0], machine.name, machine, found[1]))
        return self._clear(job, tasks, options, now)

    def _candidates(self, job: Job, now: timedelta, free: bool = False) -> list[Machine]:
        """Machines that may run the job; `free`: only those with room for one of its tasks."""
        spec, cpus = job.spec, job.need.cpus - EPSILON if free else -1.0
        return [
            machine
            for machine in self.part.machines.values()
            if machine.free.cpus >= cpus
            and machine.usable
            and machine.avoid_until <= now
            and machine.name not in job.failed_on
            and allows(spec, machine.kind.name, machine.zone, machine.spot)
        ]

    def _choose(
        self, job: Job, tasks: int, options: list[tuple[int, float, float, float, Machine]]
    ) -> list[Machine] | None:
        """Machines for all tasks of a gang: nearest image first, then the tightest fit."""
        options = sorted(options, key=lambda one: (*one[:4], one[4].name))
        if not job.spec.together:
            return self._take(job, tasks, [one[4] for one in options])
        zones = dict.fromkeys(one[4].zone for one in options)
        for zone in zones:
            chosen = self._take(job, tasks, [one[4] for one in options if one[4].zone == zone])
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

    # -- preemption

    def _may_stop(self, victim: Job, job: Job) -> bool:
        """Whether a victim's tasks may be stopped for a job.

        The same order decides who starts first. If two jobs could each stop the other, they would do so in turn,
        and neither would ever get done.
        """
        if self._class(job) >= self._class(victim):
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

    def _clear_out(self, machine: Machine, job: Job, now: timedelta) -> tuple[float, list[Placement]] | None:
        """The cheapest set of tasks to stop so that one task of the job fits, and what is lost with them."""
        # Most machines hold too little that may be stopped: that is seen without a look at each task.
        if not machine.leaving and not self._room_below(machine, job.level + job.guaranteed).holds(job.need):
            return None
        room = machine.free.copy()
        victims: list[Placement] = []
        loss = 0.0
        stoppable = []
        for placement in machine.placements.values():
            if placement.stopping:
                room.add(placement.job.need)  # it is on its way out already
            elif placement.phase is not Phase.SENT and self._may_stop(placement.job, job):
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

    def _latest_choice(self, job: Job, fetch: timedelta) -> timedelta:
        """When a task must stop waiting for its image so that a fetch, which may be slow, is still in time."""
        return self._objectives.start_within(job) - 2 * self._report - fetch * (FETCH_SPREAD - 1)

    def _patience(self, job: Job) -> timedelta:
        """How long a job waits before room is made by force: a third of what can be spared.

        What can't: stopping and starting each take until the next report, and then the image is fetched.
        """
        spare = self._objectives.start_within(job) - LEAD_REPORTS * self._report - self.part.least_fetch(job)
        return max(ZERO, spare / PATIENCE)

    def _make_room_for_gang(self, job: Job, tasks: int, now: timedelta) -> None:
        if now - job.since < self._patience(job):
            return
        options: list[tuple[float, str, Machine, list[Placement]]] = []
        for machine in self._candidates(job, now):
            if machine.held_for not in (None, job.ref):
                continue
            found = self._clear_out(machine, job, now)
            if found is not None:
                options.append((found[0], machine.name, machine, found[1]))
        self._clear(job, tasks, options, now)

    def _clear(
        self, job: Job, tasks: int, options: list[tuple[float, str, Machine, list[Placement]]], now: timedelta
    ) -> bool:
        """Stop what is cheapest to stop on as many machines as a gang needs; whether there are so many.

        Machines that are held for it already come first: else every round would make room on others, and more than
        the gang has use for.
        """
        options.sort(key=lambda one: (one[2].held_for != job.ref, *one[:2]))
        if job.spec.together and options:
            zones: dict[str, list] = {}
            for one in options:
                zones.setdefault(one[2].zone, []).append(one)
            enough = [group[:tasks] for group in zones.values() if len(group) >= tasks]
            options = min(enough, key=lambda group: sum(one[0] for one in group)) if enough else []
        if len(options) < tasks:
            return False
        for _, _, machine, victims in options[:tasks]:
            machine.held_for, machine.held_until = job.ref, now + GANG_HELD
            for victim in victims:
                self._preempt(victim, job)
        return True

    def _preempt(self, victim: Placement, job: Job) -> None:
        spec = victim.job.spec
        grace = timedelta(seconds=spec.save_s) if spec.checkpoint_s else ZERO
        log.debug(
            "event=preempt task=%s/%d machine=%s for=%s", victim.job.ref, victim.index, victim.machine.name, job.ref
        )
        if spec.gang:
            victim.job.stopped += 1
            self.part.stop_gang(victim.job, grace)
        else:
            self.part.stop(victim, grace)

    def make_room_for_arrays(self, now: timedelta, most: int = 64) -> None:
        """Give a team its guarantee, and higher levels their place, at the cost of work that may be stopped."""
        if not self.part.settled:
            return
        self._refresh(now)
        coming = sum(machine.leaving for machine in self.part.machines.values())  # room on its way already
        for job in self._order:
            if job.gang or job.failing or now - job.since < self._patience(job):
                continue
            bits = job.waiting_bits
            if not bits or now - min(job.requeued.get(lowest(bits), job.since), now) < self._patience(job):
                continue
            wanted = min(bits.bit_count(), self.part.fits_share(job, most), most)
            wanted -= coming
            wanted -= sum(one.free.times(job.need) for one in self._candidates(job, now, free=True))
            if wanted > 0:
                stopped = self._stop_for_array(job, wanted, now)
                most -= stopped
                coming += stopped
            if most <= 0:
                return

    def _stop_for_array(self, job: Job, wanted: int, now: timedelta) -> int:
        options = []
        for machine in self._candidates(job, now):
            if machine.held_for is None:
                found = self._clear_out(machine, job, now)
                if found is not None and found[1]:
                    uncached = ladder.rung_of(job, machine, self._images) is not ladder.Rung.CACHED
                    options.append((uncached, found[0], machine.name, machine, found[1]))
        options.sort(key=lambda one: one[:3])
        for _, _, _, machine, victims in options[:wanted]:
            machine.held_for = job.ref
            machine.held_until = now + HELD
            for victim in victims:
                self._preempt(victim, job)
        return min(wanted, len(options))

    # -- feedback

    def feedback(self, now: timedelta) -> None:
        """Sample every job, and give those whose period is over their next desire."""
        for job in self.part.jobs.values():
            if job.period_began is None:
                continue
            af.sample(job, job.waiting_bits.bit_count())
            if now - job.period_began >= self._settings.period:
                af.end_period(job, now, self._settings)

    # -- what others need to know

    def shapes(self, now: timedelta) -> list[Shape]:
        found = []
        for job in self.part.jobs.values():
            count = job.startable
            if count and job.blocked_until <= now:
                found.append(
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
        return found
