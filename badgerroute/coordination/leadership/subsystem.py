"""Builds the components for leader election and for checking whether an action is allowed."""

from dataclasses import dataclass

from badgerroute.connectivity.damping import FlapDamping
from badgerroute.connectivity.mode_machine import ModeMachine
from badgerroute.coordination.leadership.action_policy import ActionPolicy
from badgerroute.coordination.leadership.autoscaler_election import AutoscalerElection
from badgerroute.coordination.leadership.leader_election import LeaderElection
from badgerroute.coordination.leadership.leader_records import LeaderRecords
from badgerroute.coordination.leadership.leadership_state import LeadershipState
from badgerroute.coordination.leadership.lease_keeper import LeaseKeeper
from badgerroute.coordination.leadership.shard_transfer import ShardTransfer
from badgerroute.settings import Settings
from badgerroute.storage.subsystem import Storage
from badgerroute.transport.loop import Loop


@dataclass(frozen=True, slots=True)
class LeadershipSubsystem:
    """The components for shard leadership.

    `state` holds the shards that this controller leads. `policy` decides which actions are allowed now, by the
    connectivity mode and the last confirmation of leadership.
    """

    state: LeadershipState
    records: LeaderRecords
    mode_machine: ModeMachine
    policy: ActionPolicy
    election: LeaderElection
    shard_transfer: ShardTransfer


def build_leadership(settings: Settings, loop: Loop, storage: Storage) -> LeadershipSubsystem:
    """Build the components. The controller leads no shard before `LeaderElection.run` is started."""
    state = LeadershipState(settings, loop, storage.replica)
    records = LeaderRecords(storage.store, storage.replica)
    mode_machine = ModeMachine(FlapDamping.from_settings(settings.operator.connectivity))
    policy = ActionPolicy(state, mode_machine)
    host = settings.platform.host_name
    election = LeaderElection(
        settings=settings,
        loop=loop,
        replica=storage.replica,
        leadership_state=state,
        leader_records=records,
        lease_keeper=LeaseKeeper(settings, loop, storage.store, state),
        autoscaler_election=AutoscalerElection(storage.store, storage.replica, state, host),
        policy=policy,
    )
    return LeadershipSubsystem(state, records, mode_machine, policy, election, ShardTransfer(state, records))
