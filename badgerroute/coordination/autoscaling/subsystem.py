"""Builds the components that rent, list, return and delete machines."""

from dataclasses import dataclass

from badgerroute.coordination.autoscaling.autoscaler_authority import AutoscalerAuthority
from badgerroute.coordination.autoscaling.deletion_recorder import DeletionRecorder
from badgerroute.coordination.autoscaling.machine_deletion import MachineDeletionQueue
from badgerroute.coordination.autoscaling.machine_inventory import MachineInventory, max_list_age
from badgerroute.coordination.autoscaling.machine_ownership import MachineOwnership
from badgerroute.coordination.autoscaling.machine_tombstones import MachineTombstones
from badgerroute.coordination.autoscaling.pending_machines import PendingMachines
from badgerroute.coordination.autoscaling.scale_in import ScaleIn
from badgerroute.coordination.autoscaling.scale_out import ScaleOut, SummarySource
from badgerroute.coordination.jobs.job_store import JobStore
from badgerroute.coordination.leadership.subsystem import LeadershipSubsystem
from badgerroute.coordination.shards.shard_leaders import ShardLeaders
from badgerroute.protocol.cloud import MachineType
from badgerroute.settings import Settings
from badgerroute.storage.subsystem import Storage
from badgerroute.transport.loop import Loop


@dataclass(frozen=True, slots=True)
class AutoscalingSubsystem:
    """The autoscaling components of one controller.

    Scale-out acts only at the autoscaler leader. Every controller returns and deletes machines of the shards it leads.
    """

    tombstones: MachineTombstones
    deletion_queue: MachineDeletionQueue
    scale_out: ScaleOut
    scale_in: ScaleIn


def build_autoscaling(
    *,
    settings: Settings,
    loop: Loop,
    storage: Storage,
    leadership: LeadershipSubsystem,
    authority: AutoscalerAuthority,
    leaders: ShardLeaders,
    job_store: JobStore,
    catalog: dict[str, MachineType],
    summary_source: SummarySource,
) -> AutoscalingSubsystem:
    """Build the subsystem. `catalog` maps names to machine types; it is empty until the types have been fetched."""
    tombstones = MachineTombstones(settings.operator.fleet.most_machines)
    ownership = MachineOwnership(storage.replica, leadership.state)
    pending = PendingMachines(loop, catalog, max_list_age(settings))
    deletion_queue = MachineDeletionQueue(
        loop=loop,
        cloud=storage.cloud,
        policy=leadership.policy,
        ownership=ownership,
        listeners=[pending, DeletionRecorder(tombstones, leaders)],
    )
    inventory = MachineInventory(
        settings=settings,
        loop=loop,
        cloud=storage.cloud,
        ownership=ownership,
        pending=pending,
        deletion_queue=deletion_queue,
    )
    scale_out = ScaleOut(
        settings=settings,
        loop=loop,
        cloud=storage.cloud,
        leadership_state=leadership.state,
        authority=authority,
        ownership=ownership,
        catalog=catalog,
        summary_source=summary_source,
        pending=pending,
        inventory=inventory,
    )
    scale_in = ScaleIn(
        settings=settings,
        loop=loop,
        policy=leadership.policy,
        job_store=job_store,
        catalog=catalog,
        leaders=leaders,
        deletion_queue=deletion_queue,
    )
    return AutoscalingSubsystem(tombstones, deletion_queue, scale_out, scale_in)
