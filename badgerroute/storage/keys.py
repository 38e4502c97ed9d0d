"""The keys of the key-value store. Other versions of the controllers use the same keys, so they must not be renamed.

There is one constant for each family of keys; `records` defines the values. A constant that ends in a slash is the
prefix of a family with one key for each of the objects that its comment names in capitals. A shard's leader makes every
write conditional on its leadership, so the write fails if the shard has another leader.
"""

PREFIX = "b/"  # shared by all keys, so that a single watch delivers all changes in order

# b/parts/SHARD: ShardLeaderRecord. Written by: the shard's leader, with its lease. The key's revision is the leader's
# term, so each leader of a shard has a higher term than those before it.
SHARD_LEADERS = "b/parts/"

# b/fleet: AutoscalerLeaderRecord. Written by: the controller that rents machines, with its lease.
AUTOSCALER_LEADER = "b/fleet"

# b/jobs/JOB: JobRecord of an unfinished job. Written by: the controller that accepted
# the job, then the leaders of the shards that own its tasks.
JOBS = "b/jobs/"

# b/past/JOB: FinalStateRecord. Written by: the controller that removes the job's record, in the same
# transaction. Kept permanently.
FINAL_STATES = "b/past/"

# b/machines/MACHINE: MachineRecord. Written by: the leader of the shard that the machine is a member of.
MACHINES = "b/machines/"

# b/shares/TEAM: QuotaRecord, which covers all shards. Written by: the leaders of all shards, each write conditional on
# the key's revision.
QUOTA_ALLOCATIONS = "b/shares/"

# b/catalog, or b/catalog/TYPE if one value can't hold all types: CatalogRecord. Written by: the controller that fetched
# the catalog from the cloud.
CATALOG = "b/catalog"

# b/gone/SHARD/PAGE: TombstoneRecord. Written by: the shard's leader.
TOMBSTONES = "b/gone/"

# b/done/JOB/PAGE: DonePage. Written by: the controllers that write the job's record.
DONE = "b/done/"

# b/before/JOB/PAGE: PredecessorsPage. Written by: the controller that accepted the job.
PREDECESSORS = "b/before/"

# b/drains/MACHINE: DrainRecord. Written and removed by: the operators' drain commands. A controller removes it once the
# machine is no longer a member of a shard.
DRAINS = "b/drains/"

NONEXISTENT = PREFIX + "nowhere"  # never written; the response to a read of it contains the store's revision


def parent_prefix(key: str) -> str:
    """Return a key up to and including its last slash."""
    return key[: key.rfind("/") + 1]
