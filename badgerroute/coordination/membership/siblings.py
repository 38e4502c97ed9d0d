"""What is known of the other controllers, and with them of all parts."""

from dataclasses import dataclass
from datetime import timedelta

from badgerroute.coordination.ownership.claims import Claims
from badgerroute.coordination.parts.owner import Owner
from badgerroute.protocol import mesh as mesh_wire
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop

STALE = timedelta(seconds=3)
SIBLING_SILENT_AFTER = timedelta(seconds=8)  # one without a claim that is silent for so long uses nothing
UP_PROOF = timedelta(seconds=3)


@dataclass(slots=True)
class Sibling:
    """What another controller said last, and when it was heard."""

    gossip: mesh_wire.Gossip
    heard: timedelta

    def fit(self) -> bool:
        """Whether a part may be given to it."""
        told = self.gossip
        return told.ready and told.proved and told.lease > 0 and not told.isolated


class Siblings:
    """The other controllers as they were last heard, and our own parts beside theirs."""

    def __init__(self, settings: Settings, loop: Loop, claims: Claims, owners: dict[int, Owner]) -> None:
        self._settings, self._loop, self._claims, self._owners = settings, loop, claims, owners
        self._began = loop.now()
        self._known: dict[str, Sibling] = {}

    def hear(self, gossip: mesh_wire.Gossip) -> None:
        """Take in what another controller says."""
        self._known[gossip.host] = Sibling(gossip, self._loop.now())

    def get(self, host: str) -> Sibling | None:
        """A controller that was heard within the last seconds."""
        sibling = self._known.get(host)
        return sibling if sibling is not None and self._loop.now() - sibling.heard < STALE else None

    def recent(self) -> list[Sibling]:
        """All that were heard within the last seconds."""
        return [sibling for host in self._known if (sibling := self.get(host)) is not None]

    def proved(self) -> bool:
        """Whether the state service has answered ourselves within the last seconds."""
        return self._loop.now() - self._claims.proved < UP_PROOF

    def cut_off(self) -> bool:
        """Whether the state service does not answer us, while it does a sibling, or none is heard."""
        if self.proved():
            return False
        recent = self.recent()
        if not recent:
            return self._settings.params.size > 1
        return any(sibling.gossip.proved for sibling in recent)

    def summaries(self) -> list[mesh_wire.PartSummary]:
        """Of all parts that are known of: our own as they are, the others' as last heard."""
        summaries = {owner.number: owner.summary() for owner in self._owners.values() if owner.ready}
        for sibling in self.recent():
            for summary in sibling.gossip.parts:
                summaries.setdefault(summary.part, summary)
        return list(summaries.values())

    def last_heard_parts(self) -> list[tuple[mesh_wire.PartSummary, timedelta]]:
        """The other controllers' parts as they were told last, and how long ago that was."""
        now = self._loop.now()
        return [(part, now - sibling.heard) for sibling in self._known.values() for part in sibling.gossip.parts]

    def in_use(self) -> int:
        """How many controllers may be using the state service: this one, and all that are heard or hold a claim.

        Right after the start nobody has been heard yet, so none is counted out then.
        """
        if self._loop.now() - self._began < SIBLING_SILENT_AFTER:
            return self._settings.params.size
        claimed = {self._claims.owner(part) for part in range(self._settings.params.size)}
        hosts = [one.host_name for one in self._settings.platform.siblings]
        return 1 + sum(host in claimed or self._heard_lately(host) for host in hosts)

    def _heard_lately(self, host: str) -> bool:
        sibling = self._known.get(host)
        return sibling is not None and self._loop.now() - sibling.heard < SIBLING_SILENT_AFTER

    def running(self, ref: str) -> int:
        """How many of a job's tasks run, for display."""
        here = sum(
            placement.running_since is not None
            for owner in self._owners.values()
            if ref in owner.part.jobs
            for placement in owner.part.jobs[ref].placed.values()
        )
        there = sum(
            summary.running.get(ref, 0)
            for sibling in self.recent()
            for summary in sibling.gossip.parts
            if summary.part not in self._owners
        )
        return here + there
