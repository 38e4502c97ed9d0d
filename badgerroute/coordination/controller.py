"""One controller: its duties, and who answers what."""

import logging
import random
import zlib
from collections.abc import Callable
from datetime import timedelta

import msgspec

from badgerroute.coordination.cancellation_broadcast import CancellationBroadcast
from badgerroute.coordination.claims import Claim, Claims
from badgerroute.coordination.fleet import Fleet, rents_ahead
from badgerroute.coordination.forecast import JobForecast
from badgerroute.coordination.job_reader import JobReader
from badgerroute.coordination.job_store import JobStore
from badgerroute.coordination.job_writer import JobWriter, Progress
from badgerroute.coordination.mesh import Mesh
from badgerroute.coordination.migration import fits_capacity
from badgerroute.coordination.owner import Owner
from badgerroute.coordination.pipelines import Pipelines
from badgerroute.coordination.quotas import TeamQuotas
from badgerroute.coordination.reachability import WorkerReachability
from badgerroute.coordination.record_paging import RecordPager
from badgerroute.coordination.services import Services
from badgerroute.coordination.users import Users, answer, come_back, error
from badgerroute.protocol import mesh as mesh_wire
from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.common import MalformedError
from badgerroute.protocol.state import Condition
from badgerroute.protocol.workers import Redirect, parse_report
from badgerroute.settings import Settings
from badgerroute.storage import records
from badgerroute.storage.budget import Urgency
from badgerroute.storage.cloud import CloudClient, CloudUnavailableError, NoCapacityError
from badgerroute.storage.replica import CATALOG, DELETED, DONE, JOBS, MACHINES, Replica
from badgerroute.storage.state import (
    ConflictError,
    LeaseExpiredError,
    OutcomeUnknownError,
    StateClient,
    StateUnavailableError,
    put,
    when,
)
from badgerroute.transport.http import Request, Response, Server
from badgerroute.transport.loop import Future, Gate, Group, Loop
from badgerroute.transport.net import Network

log = logging.getLogger("badgerroute.controller")
GOSSIP = timedelta(milliseconds=500)
SLICE_PAUSE = timedelta(milliseconds=25)  # between two slices of what takes more than a round
FLUSH = timedelta(milliseconds=300)
STALE = timedelta(seconds=3)
MAX_DELETED_REMEMBERED = 5000
SIBLING_SILENT_AFTER = timedelta(seconds=8)  # a sibling without a claim that is silent for so long uses nothing
UP_PROOF = timedelta(seconds=3)
HAND_OVER_PAUSE = timedelta(seconds=2)
RESERVED_SOCKETS = 48  # for the state service, the cloud and the mesh
MAX_DIRECT_COMMANDS = 128  # commands on their way to workers, each with a connection of its own


class CatalogRecord(msgspec.Struct):
    types: list[MachineType]


class Sibling:
    __slots__ = ("gossip", "heard")

    def __init__(self, gossip: mesh_wire.Gossip, heard: timedelta) -> None:
        self.gossip, self.heard = gossip, heard


class Controller:
    def __init__(self, settings: Settings, loop: Loop, network: Network, group: Group) -> None:
        self.settings, self._loop, self._network, self._group = settings, loop, network, group
        params = settings.params
        self.state = StateClient(loop, network, settings.platform.endpoints.state, params.state, params.size)
        self.cloud = CloudClient(loop, network, settings.platform.endpoints.cloud, params.cloud, params.size)
        self.replica = Replica(loop, self.state)
        self.mesh = Mesh(settings, loop, network, group, self._on_message)
        self.reachability = WorkerReachability(
            loop, network, self.replica, random.Random(settings.platform.host_name).sample
        )
        self.claims = Claims(settings, loop, self.state, self.replica, self._won, self._lost, self._reluctant)
        hosts = [one.host_name for one in settings.platform.siblings]
        self.cancellation_broadcast = CancellationBroadcast(
            loop, settings.platform.host_name, hosts, self.mesh.send, params.workers.cancel
        )
        self.catalog: dict[str, MachineType] = {}
        self.owners: dict[int, Owner] = {}
        self.siblings: dict[str, Sibling] = {}
        self.job_store = JobStore(self.replica, self._push, self._notify_owners, self.cancellation_broadcast.learned)
        self.job_reader = JobReader(loop, self.state, self.replica, self.job_store)
        self.pager = RecordPager(self.state, self.replica, self.job_store, self.catalog)
        self.job_writer = JobWriter(loop, self.state, self.replica, self.job_store, self.job_reader, self.pager)
        self.quotas = TeamQuotas(settings, loop, self.state, self.replica, self._push, self._condition)
        self.pipelines = Pipelines(
            loop,
            self.state,
            self.replica,
            self.job_store,
            self.job_reader,
            lambda part: part in self.claims.parts,
            lambda: self.claims.fleet is not None and self.claims.fresh(),
            settings.home,
        )
        self.fleet = Fleet(
            settings,
            loop,
            group,
            self.cloud,
            self.claims,
            self.replica,
            self.catalog,
            self._summaries,
            self._machines_deleted,
        )
        self.forecast = JobForecast(
            settings, loop, self.job_store, self.replica, self.catalog, self.owners, self._summaries
        )
        self.users = Users(
            params,
            self.job_store,
            self.job_reader,
            self.job_writer,
            self.pager,
            self.replica,
            self.catalog,
            self._summaries,
            self._running,
        )
        self._flush = Future()
        self._began = loop.now()
        self._deleted: dict[str, None] = {}  # machines that were deleted, oldest first
        sockets = params.resources.fd_limit
        direct = min(MAX_DIRECT_COMMANDS, max(4, sockets // 8))
        self._gate = Gate(direct)
        self._server = Server(loop, group, self._handle, max(16, sockets - direct - RESERVED_SOCKETS - 8 * params.size))
        self._services = Services(
            settings=settings,
            loop=loop,
            network=network,
            group=group,
            gate=self._gate,
            state=self.state,
            replica=self.replica,
            claims=self.claims,
            job_store=self.job_store,
            job_reader=self.job_reader,
            pager=self.pager,
            quotas=self.quotas,
            catalog=self.catalog,
            publish=self._push,
            progressed=self._progressed,
            delete_machines=self.fleet.delete,
            ask_share=self._ask_share,
            ask_machines=self._ask_machines,
        )
        self.replica.listen(DONE, self._page_changed)
        self.replica.listen(JOBS, self._job_changed)
        self.replica.listen(MACHINES, self._machine_changed)
        self.replica.listen(CATALOG, self._catalog_changed)
        self.replica.listen(DELETED, self._deleted_changed)

    # -- life

    async def run(self) -> None:
        log.info("event=start host=%s home=%d", self.settings.platform.host_name, self.settings.home)
        listener = self._network.listen(self.settings.platform.public_addr)
        self._group.spawn(self._server.serve(listener), "serve")
        self.mesh.start()
        second = timedelta(seconds=1)
        for make, name in (
            (self.replica.run, "replica"),
            (self.replica.answer_readers, "reads"),
            (self.claims.run, "claims"),
            (self._catalog_duty, "catalog"),
            (self._gossip_duty, "gossip"),
            (self._flush_duty, "flush"),
            (self._forecast_duty, "forecast"),
            (self._steal_duty, "steal"),
            (self._hand_over_duty, "hand-over"),
            (self.fleet.rent_duty, "rent"),
            (self.fleet.delete_duty, "delete"),
            (self._idle_duty, "idle"),
            (self.reachability.probe, "probe"),
            (self.pipelines.resolve, "resolve"),
            (self.pipelines.withdraw, "withdraw"),
            (self.pipelines.tidy, "tidy"),
        ):
            self._group.duty(make, name, second)
        await Future()

    def _won(self, part: int, claim: Claim) -> None:
        owner = Owner(part, claim, self._services)
        self.owners[part] = owner
        owner.start()

    def _lost(self, part: int) -> None:
        owner = self.owners.pop(part, None)
        if owner is not None:
            log.info("event=part_lost part=%d", part)
            self.fleet.spare(owner.part.machines)
            owner.close()

    def _condition(self, part: int) -> Condition | None:
        return self.claims.condition(part) if part in self.claims.parts else None

    # -- what the watch says

    def _job_changed(self, key: str, value: bytes | None, revision: int) -> None:
        self._notify_owners(key.removeprefix(JOBS))

    def _page_changed(self, key: str, value: bytes | None, revision: int) -> None:
        self._notify_owners(key.removeprefix(DONE).rpartition("/")[0])

    def _notify_owners(self, ref: str) -> None:
        for owner in self.owners.values():
            if owner.ready:
                owner.job_changed(ref)

    def _machine_changed(self, key: str, value: bytes | None, revision: int) -> None:
        for owner in self.owners.values():
            if owner.ready:
                owner.machine_changed(key.removeprefix(MACHINES), value)

    def _deleted_changed(self, key: str, value: bytes | None, revision: int) -> None:
        if value is not None:
            self._remember_deleted(records.read(value, records.DeletedMachinesRecord).names)

    def _remember_deleted(self, names: list[str]) -> None:
        self._deleted.update(dict.fromkeys(names))
        while len(self._deleted) > MAX_DELETED_REMEMBERED:  # copies come minutes late, not weeks
            del self._deleted[next(iter(self._deleted))]

    def _machines_deleted(self, names: list[str]) -> None:
        self._remember_deleted(names)
        members = {name for owner in self.owners.values() for name in owner.part.machines}
        for number, owner in enumerate(list(self.owners.values())):
            # One that never was a member is remembered by any of our parts.
            mine = [name for name in names if name in owner.part.machines or (not number and name not in members)]
            if mine:
                self._group.spawn(owner.deleted_machines.forget(mine), "forget")

    def _catalog_changed(self, key: str, value: bytes | None, revision: int) -> None:
        if value is not None:
            self._know_types(records.read(value, CatalogRecord).types)

    def _know_types(self, types: list[MachineType]) -> None:
        self.catalog.update({kind.name: kind for kind in types})

    # -- duties

    async def _catalog_duty(self) -> None:
        """Learn the machine types, and keep them where a restart in an outage of the cloud finds them."""
        await self.replica.ready
        while True:
            pause = timedelta(seconds=60)
            if self.claims.fleet is not None or not self.catalog:
                try:
                    types = await self.cloud.catalog()
                except (CloudUnavailableError, NoCapacityError) as trouble:
                    log.info("event=catalog_failed error=%s", trouble)
                    pause = timedelta(seconds=2)
                else:
                    fresh = set(self.catalog) != {kind.name for kind in types}
                    self._know_types(types)
                    if fresh or not any(key.startswith(CATALOG) for key in self.replica.items):
                        await self._store_catalog(types)
            await self._loop.sleep(pause)

    async def _store_catalog(self, types: list[MachineType]) -> None:
        """In one key, or in one for each type where that would be too large: every version reads both."""
        found = {CATALOG: records.write(CatalogRecord(types))}
        if len(bytes(found[CATALOG])) > self.state.max_value_bytes:
            found = {f"{CATALOG}/{kind.name}": records.write(CatalogRecord([kind])) for kind in types}
        for key, value in found.items():
            if self.replica.value(key) == bytes(value) or len(bytes(value)) > self.state.max_value_bytes:
                continue
            try:
                at = await self.state.transact(
                    [when(key, self.replica.revision_of(key))], [put(key, value)], Urgency.PROGRESS
                )
            except (StateUnavailableError, OutcomeUnknownError, ConflictError) as trouble:
                log.debug("event=catalog_not_stored error=%s", trouble)
            else:
                self.replica.learn(key, bytes(value), at)

    async def _gossip_duty(self) -> None:
        while True:
            await self._loop.sleep(GOSSIP)
            self.state.share(self._in_use())
            if self.claims.lease is not None:
                self.mesh.broadcast(self._gossip())
            self.cancellation_broadcast.repeat()

    def _in_use(self) -> int:
        """How many controllers may be using the state service: this one, and all that are heard or hold a claim.

        Right after the start nobody has been heard yet, so none is counted out then.
        """
        if self._loop.now() - self._began < SIBLING_SILENT_AFTER:
            return self.settings.params.size
        claimed = {self.claims.owner(part) for part in range(self.settings.params.size)}
        hosts = [one.host_name for one in self.settings.platform.siblings]
        return 1 + sum(host in claimed or self._heard(host) for host in hosts)

    def _heard(self, host: str) -> bool:
        sibling = self.siblings.get(host)
        return sibling is not None and self._loop.now() - sibling.heard < SIBLING_SILENT_AFTER

    def _gossip(self) -> mesh_wire.Gossip:
        parts = [owner.summary() for owner in self.owners.values() if owner.ready]
        return mesh_wire.Gossip(
            self.settings.platform.host_name,
            self.claims.lease or 0,
            bool(self.catalog) and self.replica.ready.done,
            self._proved(),
            self.reachability.isolated,
            parts,
        )

    def _progressed(self) -> None:
        self._flush.set()

    async def _flush_duty(self) -> None:
        """Write progress down in batches: at once when a job may be complete, else once in a while."""
        while True:
            await self._flush
            self._flush = Future()
            try:
                await self._flush_once()
            except (StateUnavailableError, OutcomeUnknownError, LeaseExpiredError) as trouble:
                log.info("event=progress_delayed error=%s", trouble)
                self._flush.set()
            if any(owner.progress for owner in self.owners.values()):
                self._flush.set()
            await self._loop.sleep(FLUSH)

    async def _flush_once(self) -> None:
        merged: dict[str, Progress] = {}
        for owner in self.owners.values():
            for one in owner.batch():
                known = merged.get(one.ref)
                if known is None:
                    merged[one.ref] = one
                else:
                    known.done |= one.done
                    known.parts |= one.parts
        if not merged:
            return

        def order(one: Progress) -> tuple[int, timedelta]:
            """Jobs that are complete come first, and of these the ones that will soon be late.

            When a thousand small jobs ended together, writing that down took two minutes, and larger ones that had been
            done in time were told done too late.
            """
            record = self.job_store.active.get(one.ref)
            if record is None:
                return 0, timedelta.max
            done = self.job_store.done(one.ref, record) | one.done
            return record.job.tasks - done.bit_count(), self.forecast.time_left(record)

        batch = sorted(merged.values(), key=order)
        await self.job_writer.write_progress(batch, self._condition)

    async def _forecast_duty(self) -> None:
        turns_left = 0
        while True:
            await self._loop.sleep(GOSSIP)
            if turns_left == 0:
                turns_left = await self._inherit()
            turns_left -= 1
            self.forecast.update()

    async def _inherit(self) -> int:
        """Work out what jobs take over from their dependents. The slices it took: as many turns until the next pass."""
        slices = 1
        while not self.forecast.inherit(self._round_over()):
            slices += 1
            await self._loop.sleep(SLICE_PAUSE)
        return slices

    def _round_over(self) -> Callable[[], bool]:
        """Tells when the time for a round of decisions that begins now is over."""
        deadline = self._loop.now() + self.settings.operator.scheduling.round
        return lambda: self._loop.now() > deadline

    async def _steal_duty(self) -> None:
        """Idle parts ask busy ones for waiting tasks, one request per part and period."""
        while True:
            await self._loop.sleep(GOSSIP)
            for owner in list(self.owners.values()):
                if not owner.ready or not owner.part.settled or not self.claims.acting(owner.number):
                    continue
                await owner.migration.pass_on_gangs(self._summaries())
                capacities, images = owner.idle_capacities()
                if not capacities:
                    continue
                short = owner.migration.short_teams()
                if owner.migration.has_work_for(capacities, short):
                    continue
                victim = self._busiest(owner.number, capacities, short)
                if victim is not None:
                    self._steal_from(
                        victim, mesh_wire.StealRequest(victim, owner.number, capacities, images, sorted(short))
                    )

    def _busiest(self, thief: int, capacities: list[mesh_wire.FreeCapacity], short: set[str]) -> int | None:
        """The part where most waits that would fit the thief's room.

        What fits nowhere there once drew every request to itself, while a third part's work waited beside room for it.
        """
        waiting = {
            summary.part: sum(
                want.count * max(want.cpus, want.accelerators)
                for want in summary.demands
                if want.team not in short and any(fits_capacity(want, one) for one in capacities)
            )
            for summary in self._summaries()
            if summary.part != thief and summary.settled
        }
        busiest = max(waiting, key=lambda part: waiting[part], default=None)
        return busiest if busiest is not None and waiting[busiest] > 0 else None

    def _steal_from(self, victim: int, message: mesh_wire.StealRequest) -> None:
        if victim in self.owners:
            self._group.spawn(self.owners[victim].migration.on_steal(message), "steal")
        else:
            host = self.claims.owner(victim)
            if host is not None:
                self.mesh.send(host, message)

    async def _hand_over_duty(self) -> None:
        """A part goes back to its home controller once that one is there again."""
        while True:
            await self._loop.sleep(HAND_OVER_PAUSE)
            hosts = self.settings.hosts
            for part in list(self.claims.parts):
                home = hosts[part] if part < len(hosts) else ""
                sibling = self.siblings.get(home)
                if part == self.settings.home or sibling is None or not self._recent(sibling):
                    continue
                owner = self.owners.get(part)
                # A sibling that has lost the state service still names the lease it once had. Its part was handed to it
                # again and again, each time given up first and claimed anew, and stood still for as long as the cut.
                if self._fit(sibling) and owner is not None and owner.part.settled:
                    await self.claims.hand_over(part, home, sibling.gossip.lease)

    @staticmethod
    def _fit(sibling: Sibling) -> bool:
        """Whether a part may be given to a sibling."""
        told = sibling.gossip
        return told.ready and told.proved and told.lease > 0 and not told.isolated

    def _reluctant(self) -> bool:
        return self.reachability.isolated

    async def _on_misdirected_report(self, misdirected: mesh_wire.MisdirectedReport) -> None:
        """Our workers knock at a sibling's door: if they don't reach us, it had better own them."""
        owner, sibling = self.owners.get(misdirected.part), self.siblings.get(misdirected.host)
        if owner is None or not owner.ready or sibling is None or not owner.missed(misdirected.machine):
            return  # new machines knock anywhere; they say nothing of us
        if (
            self.reachability.note_misdirected(misdirected, owner.silent())
            and self._recent(sibling)
            and self._fit(sibling)
        ):
            log.warning("event=workers_unheard part=%d to=%s", misdirected.part, misdirected.host)
            self.reachability.part_given_up(misdirected.part)
            await self.claims.hand_over(misdirected.part, misdirected.host, sibling.gossip.lease)

    async def _idle_duty(self) -> None:
        """Return machines that nothing needs, where a machine can be had again in time."""
        while True:
            await self._loop.sleep(timedelta(seconds=2))
            if not self.catalog or rents_ahead(self.settings, self.catalog):
                continue
            now = self._loop.now()
            idle = self.settings.operator.fleet.idle
            if not self.job_store.active:
                idle /= 2  # there is nothing that a warm cache could be of use to
            for owner in list(self.owners.values()):
                if not owner.ready or not owner.part.settled or not self.claims.acting(owner.number):
                    continue
                names = []
                for machine in owner.part.machines.values():
                    since = machine.idle_since
                    if machine.alive and machine.empty and since is not None and now - since > idle:
                        if not machine.held_for:
                            machine.draining = True  # from here on nothing starts on it
                            names.append(machine.name)
                if names:
                    log.info("event=machines_returned part=%d machines=%s", owner.number, ",".join(names))
                    self.fleet.delete(names)

    # -- mesh

    def _recent(self, sibling: Sibling) -> bool:
        return self._loop.now() - sibling.heard < STALE

    def _summaries(self) -> list[mesh_wire.PartSummary]:
        found = {owner.number: owner.summary() for owner in self.owners.values() if owner.ready}
        for sibling in self.siblings.values():
            if self._recent(sibling):
                for summary in sibling.gossip.parts:
                    found.setdefault(summary.part, summary)
        return list(found.values())

    def _push(self, key: str, value: bytes | None, revision: int) -> None:
        self.mesh.broadcast(mesh_wire.Push(key, revision, value))

    def _on_message(self, message: mesh_wire.Message) -> None:
        if isinstance(message, mesh_wire.Gossip):
            self.siblings[message.host] = Sibling(message, self._loop.now())
            for summary in message.parts:
                self.claims.outranked(summary.part, summary.term)
        elif isinstance(message, mesh_wire.Push):
            if self.replica.ready.done:
                self.replica.learn(message.key, message.value, message.revision)
        elif isinstance(message, mesh_wire.StealRequest):
            owner = self.owners.get(message.victim)
            if owner is not None and owner.ready:
                self._group.spawn(owner.migration.on_steal(message), "steal")
        elif isinstance(message, mesh_wire.ShareRequest):
            self._give_share(message)
        elif isinstance(message, mesh_wire.MachineLoanRequest):
            self._lend(message)
        elif isinstance(message, mesh_wire.MisdirectedReport):
            self._group.spawn(self._on_misdirected_report(message), "knock")
        elif isinstance(message, mesh_wire.CancellationNotice):
            self._on_withdrawn(message)
        elif isinstance(message, mesh_wire.CancellationAck):
            self.cancellation_broadcast.known_to(message.host, message.refs)

    def _on_withdrawn(self, message: mesh_wire.CancellationNotice) -> None:
        """Act on it in this very step, though the state service may not answer us; then say that we have heard."""
        refs = [ref for ref, _ in message.jobs]
        self.cancellation_broadcast.known_to(message.host, refs)
        if not self.replica.ready.done:
            return  # not acknowledged, so it comes again
        for ref, revision in message.jobs:
            self.job_store.learn_cancelled(ref, revision)
        self.cancellation_broadcast.known_to(message.host, refs)
        self.mesh.send(message.host, mesh_wire.CancellationAck(self.settings.platform.host_name, refs))

    def _ask_machines(self, message: mesh_wire.MachineLoanRequest) -> None:
        self.mesh.broadcast(message)
        self._lend(message)

    def _lend(self, message: mesh_wire.MachineLoanRequest) -> None:
        for owner in self.owners.values():
            if owner.ready and owner.number != message.part:
                self._group.spawn(owner.migration.lend(message), "lend")

    def _ask_share(self, message: mesh_wire.ShareRequest) -> None:
        self.mesh.broadcast(message)
        self._give_share(message)

    def _give_share(self, message: mesh_wire.ShareRequest) -> None:
        for owner in self.owners.values():
            if owner.ready and owner.number != message.part:
                self._group.spawn(owner.shares.give(message), "give-share")

    # -- HTTP

    async def _handle(self, request: Request) -> Response:
        path, method = request.path, request.method
        if path == "/checkin":
            return await self._checkin(request) if method == "POST" else error(405, "method not allowed")
        if path == "/up":
            return self._up() if method == "GET" else error(405, "method not allowed")
        if path == "/v1/jobs":
            return await self.users.submit(request) if method == "POST" else error(405, "method not allowed")
        if path.startswith("/v1/jobs/"):
            ref, slash, action = path.removeprefix("/v1/jobs/").partition("/")
            if not slash:
                return await self.users.poll(ref) if method == "GET" else error(405, "method not allowed")
            if action == "cancel":
                return await self.users.cancel(ref) if method == "POST" else error(405, "method not allowed")
        return error(404, "no such path")

    def _proved(self) -> bool:
        return self._loop.now() - self.claims.proved < UP_PROOF

    def _up(self) -> Response:
        """Whether users should be sent here.

        In an outage that all controllers see, none could serve them better, and being taken out of the load balancer
        would only last longer than the outage: also one of more than G, after which users once found no node at all for
        many seconds. One that is cut off alone must say so at once.
        """
        if not self.replica.ready.done:
            return come_back("not ready")
        heard = [one for one in self.siblings.values() if self._recent(one)]
        alone = any(one.gossip.proved for one in heard) or (not heard and self.settings.params.size > 1)
        if not self._proved() and alone:
            return come_back("cut off from the state service")
        return answer(200, {"state": "up"})

    async def _checkin(self, request: Request) -> Response:
        try:
            report = parse_report(request.body)
        except MalformedError as problem:
            return error(400, str(problem))
        self.reachability.heard()
        if report.machine in self._deleted:
            return come_back("this machine was deleted")  # a late copy, whatever it says
        part = self._part_of(report.machine)
        owner = self.owners.get(part)
        if owner is None:
            host = self.claims.owner(part)
            if host is None or host == self.settings.platform.host_name:
                return answer(421, Redirect())
            if self._silent(part):
                # Sent back there, it would wait in vain once more, and by then its lease is over.
                self.mesh.send(
                    host, mesh_wire.MisdirectedReport(part, report.machine, self.settings.platform.host_name)
                )
                return come_back("its owner does not hear its workers")
            return answer(421, Redirect(host))
        if not owner.ready or not self.claims.acting(part):
            return come_back("not acting for this machine now")
        result = await owner.checkin(report)
        return come_back("can't act on this report now") if result is None else answer(200, result)

    def _silent(self, part: int) -> bool:
        return any(one.part == part and one.silent for one in self._summaries())

    def _part_of(self, name: str) -> int:
        value = self.replica.value(MACHINES + name)
        if value is not None:
            return records.read(value, records.MachineRecord).part
        # Not a member yet: names in a row go to different parts, so each gets its mix of types and zones.
        digits = name[len(name.rstrip("0123456789")) :]
        number = int(digits) if digits else zlib.crc32(name.encode())
        return number % self.settings.params.size

    def _running(self, ref: str) -> int:
        """How many tasks run, for display: our own parts' as they are, the others' as last heard."""
        here = sum(
            placement.running_since is not None
            for owner in self.owners.values()
            if ref in owner.part.jobs
            for placement in owner.part.jobs[ref].placed.values()
        )
        there = sum(
            summary.running.get(ref, 0)
            for sibling in self.siblings.values()
            if self._recent(sibling)
            for summary in sibling.gossip.parts
            if summary.part not in self.owners
        )
        return here + there
