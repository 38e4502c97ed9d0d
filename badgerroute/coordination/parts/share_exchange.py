"""How a part comes by shares of teams' limits, and what it gives of its own to other parts."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from badgerroute.connectivity.modes import Action
from badgerroute.coordination.parts.services import Services
from badgerroute.protocol import mesh as mesh_wire
from badgerroute.scheduling.model import ZERO, Room
from badgerroute.scheduling.part import Part
from badgerroute.scheduling.planner import Planner

RESERVATION_TTL = timedelta(seconds=2.5)  # what another part lacks is asked for every second
UNEVEN = 0.15  # of our share: what we may use more than a part whose jobs are our equals


@dataclass(frozen=True, slots=True)
class ShareShortage:
    """What jobs of one rank lack together of their team's limit, and the age of the oldest."""

    rank: tuple[float, float, float]
    lack: Room
    age: timedelta


class ShareExchange:
    """One part's dealings in shares."""

    def __init__(self, part: Part, planner: Planner, services: Services) -> None:
        self._part, self._planner = part, planner
        self._loop, self._permits, self._quotas = services.loop, services.permits, services.quotas
        self._ask: Callable[[mesh_wire.ShareRequest], None] = services.ask_share

    async def seek(self) -> None:
        """Take what the part's teams lack from what nobody holds, or ask the siblings for it."""
        for team, lack in self._planner.take_shortages().items():
            if not await self._quotas.raise_own(self._part.number, team, lack):
                first = self._first_short(team)
                if first is None:
                    continue
                used = self._part.usage[team].cpus
                message = self._quotas.ask(self._part.number, team, first.lack, first.age, first.rank, used)
                if message is not None:
                    self._ask(message)

    def _first_short(self, team: str) -> ShareShortage | None:
        """What those of a team's jobs lack that come first in the order of service."""
        short = [job for job in self._part.jobs.values() if job.spec.team == team and self._part.short_of_share(job)]
        if not short:
            return None
        rank, now, lack = min(self._planner.rank(job) for job in short), self._loop.now(), Room()
        first = [job for job in short if self._planner.rank(job) == rank]
        for job in first:
            count = job.startable
            lack.cpus += count * job.need.cpus
            lack.accelerators += count * job.need.accelerators
        return ShareShortage(rank, lack, max(now - job.accepted for job in first))

    async def give(self, message: mesh_wire.ShareRequest) -> None:
        """Another part lacks a share: give what we neither use nor can use soon, or what it has the better use for."""
        team = message.team
        if not self._part.settled or not self._permits.allows_for(self._part.number, Action.MOVE_SHARE):
            return
        cpus, gpus = self._quotas.of(self._part.number, team)
        used = self._part.usage[team]
        lack = Room(message.cpus, message.accelerators)
        spare = Room(cpus - used.cpus, gpus - used.accelerators)
        keep = self._share_to_yield(message, lack, spare)
        if keep is None:
            spare.take(self._soon(message))
        else:
            lack = keep
        await self._quotas.give(self._part.number, message.part, team, lack, spare)

    def _soon(self, message: mesh_wire.ShareRequest) -> Room:
        """What a team's jobs that wait here could use of its share."""
        soon = Room()
        for job in self._part.jobs.values():
            if job.spec.team != message.team:
                continue
            if self._part.short_of_share(job) and (message.age_s, -message.part) > (
                (self._loop.now() - job.accepted).total_seconds(),
                -self._part.number,
            ):
                # What is kept for it does not suffice either. Two gangs once waited for ever, each of them beside a
                # part of the limit that was too small for it; now what there is goes to the older one.
                continue
            count = job.startable
            if count:
                room = self._part.room_for(job)
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
            self._planner.rank(job)
            for job in self._part.jobs.values()
            if job.spec.team == message.team and job.startable
        ]
        if message.rank is None or not ranks or message.rank > min(ranks):
            return None
        wanted = lack.copy()
        if message.rank == min(ranks):
            kept = self._part.reserved_for_siblings.get(message.team, (Room(), ZERO))[0]  # free by now, but not for us
            more = (self._part.usage[message.team].cpus + kept.cpus - message.used) / 2
            if more <= UNEVEN * self._quotas.of(self._part.number, message.team)[0]:
                return None
            wanted = Room(min(wanted.cpus, more), wanted.accelerators)
        missing = Room(max(0.0, wanted.cpus - spare.cpus), max(0.0, wanted.accelerators - spare.accelerators))
        used = self._part.usage[message.team]
        missing = Room(min(missing.cpus, used.cpus), min(missing.accelerators, used.accelerators))
        self._part.reserve_for_sibling(message.team, missing, self._loop.now() + RESERVATION_TTL)
        return wanted
