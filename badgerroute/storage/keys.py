"""The keys of the key-value store. Their text is stored and shared with other versions: it stays as it is.

One constant for each family of keys; `records` has the values. A family whose constant ends in a slash holds one key
for each of what the comment names. What a shard's leader writes is conditional on its leadership.
"""

PREFIX = "b/"  # of every key, so that one watch gives all changes in their order

# b/parts/SHARD: ShardLeaderRecord. Written by: the shard's leader, with its lease; its revision is the leader's term.
SHARD_LEADERS = "b/parts/"

# b/fleet: AutoscalerLeaderRecord. Written by: the controller that rents machines, with its lease.
AUTOSCALER_LEADER = "b/fleet"

# b/jobs/JOB: JobRecord of an unfinished job. Written by: who accepted it, then the leaders of its tasks' shards.
JOBS = "b/jobs/"

# b/past/JOB: FinalStateRecord. Written by: who removes the job's key, in the same transaction. Kept for ever.
FINAL_STATES = "b/past/"

# b/machines/MACHINE: MachineRecord. Written by: the leader of the shard that the machine is a member of.
MACHINES = "b/machines/"

# b/shares/TEAM: QuotaRecord, for all shards. Written by: all leaders, each write conditional on the key's revision.
QUOTA_ALLOCATIONS = "b/shares/"

# b/catalog, or b/catalog/TYPE if one value can't hold all: CatalogRecord. Written by: who asked the cloud.
CATALOG = "b/catalog"

# b/gone/SHARD/PAGE: TombstoneRecord. Written by: the shard's leader.
TOMBSTONES = "b/gone/"

# b/done/JOB/PAGE: DonePage. Written by: as for the job's record.
DONE = "b/done/"

# b/before/JOB/PAGE: PredecessorsPage. Written by: who accepted the job.
PREDECESSORS = "b/before/"

# b/drains/MACHINE: DrainRecord. Written by: who takes the operators' request; a controller removes it with its machine.
DRAINS = "b/drains/"

NONEXISTENT = PREFIX + "nowhere"  # never written: the store answers a read of it with the revision it has applied


def parent_prefix(key: str) -> str:
    """A key up to its last slash, which is included."""
    return key[: key.rfind("/") + 1]
