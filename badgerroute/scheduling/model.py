"""Machines, jobs and attempts as one shard sees them. Plain records: what decides lies in the modules beside."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.users import Submission
from badgerroute.protocol.workers import TaskStatus
from badgerroute.storage.bitset import lowest

EPSILON = 1e-6
MAX_TIMES = 1_000_000  # more tasks than a job may have
ZERO = timedelta(0)


class Phase(Enum):
    """What an attempt of a task is at."""

    RESERVED = "reserved"  # decided, not yet told to the machine
    SENT = "sent"  # told in the answer to a heartbeat; only a later heartbeat shows whether it arrived
    FETCHING = "fetching"
    WAITING = "waiting"
    RUNNING = "running"
    SAVING = "flushing"


NO_IMAGE_YET = frozenset({Phase.RESERVED, Phase.SENT, Phase.FETCHING})


@dataclass(slots=True)
class Resources:
    """An amount of processors, accelerators and memory."""

    cpus: float = 0.0
    accelerators: float = 0.0
    memory_gb: float = 0.0

    def add(self, other: "Resources") -> None:
        """Add another amount to this one."""
        self.cpus += other.cpus
        self.accelerators += other.accelerators
        self.memory_gb += other.memory_gb

    def take(self, other: "Resources") -> None:
        """Take another amount from this one."""
        self.cpus -= other.cpus
        self.accelerators -= other.accelerators
        self.memory_gb -= other.memory_gb

    def holds(self, other: "Resources") -> bool:
        """Whether another amount fits, rounding errors aside."""
        return (
            other.cpus <= self.cpus + EPSILON
            and other.accelerators <= self.accelerators + EPSILON
            and other.memory_gb <= self.memory_gb + EPSILON
        )

    def times(self, other: "Resources") -> int:
        """How many of `other` fit."""
        counts = [
            (mine + EPSILON) / needed
            for mine, needed in (
                (self.cpus, other.cpus),
                (self.accelerators, other.accelerators),
                (self.memory_gb, other.memory_gb),
            )
            if needed > 0
        ]
        return max(0, int(min([MAX_TIMES, *counts])))

    def copy(self) -> "Resources":
        """The same amount, to be changed on its own."""
        return Resources(self.cpus, self.accelerators, self.memory_gb)


def need_of(job: Submission) -> Resources:
    """What each task of a job takes."""
    return Resources(job.cpus, job.accelerators, job.memory_gb)


def capacity_of(kind: MachineType) -> Resources:
    """What an empty machine of a type has."""
    return Resources(kind.cpus, kind.accelerators, kind.memory_gb)


def allows(job: Submission, type_name: str, zone: str, spot: bool) -> bool:
    """Whether the job may run on such a machine (its other tasks aside)."""
    return (
        (job.types is None or type_name in job.types)
        and (job.zone is None or job.zone == zone)
        and (job.spot or not spot)
    )


@dataclass(slots=True)
class Placement:
    """One attempt of one task on one machine, from the decision until the machine is provably rid of it."""

    job: "Job"
    index: int
    attempt: int
    machine: "Machine"
    phase: Phase
    since: timedelta
    running_since: timedelta | None = None
    sent: tuple[int, int] | None = None  # (incarnation, seq) of the heartbeat whose answer carried the start
    grace: timedelta | None = None  # set: it is to stop, with so much time to save
    stopped_at: timedelta | None = None
    timed: bool = True  # its beginning was seen when it happened
    rejoined: int = 0  # times that it was started again, by the same attempt number, to wait on for its gang

    @property
    def key(self) -> tuple[str, int]:
        """The task, by job and number."""
        return self.job.ref, self.index

    @property
    def stopping(self) -> bool:
        """Whether it was told, or is to be told, to stop."""
        return self.grace is not None


@dataclass(slots=True, eq=False)
class Machine:
    """A member of a shard, as its heartbeats show it."""

    name: str
    address: str
    kind: MachineType
    zone: str
    spot: bool
    joined: timedelta
    free: Resources
    held: dict[int, Resources] = field(default_factory=dict)  # level -> what its tasks take of this machine
    leaving: int = 0  # tasks that were told, or will be, to stop
    incarnation: int = 0
    sequence: int = -1
    fenced: bool = False  # it has seen our term, and we have seen its task list since
    pristine: bool = False  # nobody has ever given it a command: there is nobody to fence off
    highest_token_seen: int = 0
    answered: timedelta | None = None  # when one of its heartbeats was last answered by us
    heard: timedelta | None = None
    last_heartbeat: timedelta | None = None  # when a heartbeat of it last came here, not through a peer
    alive: bool = False
    dead_incarnation: int = 0  # its lease ended in this incarnation: whatever still comes from it is an old copy
    untaken: int = 0  # heartbeats in a row that lacked a start which an answer of ours had carried
    unreachable: bool = False  # its heartbeats reach us, but it seems that our answers don't reach it
    lost_at: timedelta | None = None  # when its lease was found to be over
    preemption_notice: timedelta | None = None  # steady time at which the cloud takes it
    draining: bool = False
    drain_deadline: timedelta | None = None  # set: it is to be empty by then, and nothing more starts on it
    placements: dict[tuple[str, int], Placement] = field(default_factory=dict)
    listed: list[TaskStatus] | None = None  # the last task list, if all that it says has been taken in
    exited: set[tuple[str, int, int]] = field(default_factory=set)  # reported as exited, not cleared yet
    orphans: set[tuple[str, int, int]] = field(default_factory=set)  # on it, but none of ours: to be halted
    undecided: set[tuple[str, int, int]] = field(default_factory=set)  # of jobs that may have been released: kept
    images: dict[str, float] = field(default_factory=dict)  # image -> GB, least recently used first
    complete: set[str] = field(default_factory=set)  # those of them that a task was seen to have got
    failed_jobs: dict[str, timedelta] = field(default_factory=dict)  # since anything was done here -> first failure
    held_for: str | None = None  # job that room was made for here
    held_until: timedelta | None = None
    idle_since: timedelta | None = None
    avoid_until: timedelta = ZERO

    @property
    def usable(self) -> bool:
        """Whether tasks may be started there."""
        return (
            self.alive
            and self.fenced
            and not self.draining
            and self.drain_deadline is None
            and not self.unreachable
            and self.preemption_notice is None
            and not self.undecided
        )

    @property
    def empty(self) -> bool:
        """Whether nothing is on it, and nothing of it remains to be cleared."""
        return not self.placements and not self.exited and not self.orphans and not self.undecided

    def touch_image(self, image: str, size_gb: float) -> None:
        """Note an image as most recently used, and drop what the cache can no longer hold."""
        if self.images and next(reversed(self.images)) == image:
            return
        self.images.pop(image, None)
        self.images[image] = size_gb
        total = sum(self.images.values())
        while total > self.kind.cache_gb and len(self.images) > 1:
            oldest = next(iter(self.images))
            total -= self.images.pop(oldest)
            self.complete.discard(oldest)

    def fetches(self, gangs_only: bool = False) -> bool:
        """Whether a task here waits for an image that is still to come."""
        return any(
            placement.running_since is None
            and placement.phase in NO_IMAGE_YET
            and placement.job.spec.image not in self.complete
            for placement in self.placements.values()
            if placement.job.gang or not gangs_only
        )

    def forget_image(self, image: str) -> None:
        """A task that waited for an image is gone: if no other waits for it, the machine has given the fetch up.

        Else it would be taken to cache what it only began to fetch, and gangs would be placed there for it in vain.
        """
        if image not in self.complete and image in self.images:
            if all(placement.job.spec.image != image for placement in self.placements.values()):
                del self.images[image]


@dataclass(slots=True, eq=False)
class Job:
    """A job's tasks in this shard."""

    ref: str
    spec: Submission
    accepted: timedelta  # its acceptance, or its release if it waited for others, on this process's steady clock
    owned: int  # bit sets of task numbers
    done: int  # durable, all shards
    window: int
    need: Resources
    since: timedelta  # when its tasks here began to wait
    done_here: int = 0  # reported done, not durable yet
    written: timedelta = -timedelta(days=1)  # when its progress was last written down
    placed: dict[int, Placement] = field(default_factory=dict)
    placed_bits: int = 0
    requeued: dict[int, timedelta] = field(default_factory=dict)
    gang_attempt: int | None = None
    guaranteed: bool = False
    tier: float = 0  # due times that it will miss, and a half if it can wait; below 0: it has waited too long to begin
    desire: float = 0.0
    booked: float = 0.0  # since the period began: slots in use, summed over samples
    granted: float = 0.0
    samples: int = 0
    starved: bool = False  # tasks waited at some time of the period
    period_began: timedelta | None = None
    run_sum: timedelta = ZERO
    run_count: int = 0
    failed_on: dict[str, int] = field(default_factory=dict)  # machine -> tasks of it that failed there
    failed_at: timedelta = ZERO
    failing: bool = False  # it fails wherever it goes, so the fault is its own: tried now and then, a task at a time
    probes: int = 0  # times that it was tried since
    stopped: int = 0  # times that a gang was stopped for another job
    moved_from: dict[str, timedelta] = field(default_factory=dict)  # machine -> until when its tasks don't go back
    blocked_until: timedelta = ZERO
    held_back: timedelta = ZERO  # how long it had to wait for others first; its deadline did not
    start_by: timedelta | None = None  # later, and a job that needs it will be late
    level: int = 0  # of its priority, or a dependent's; both are asked for at every turn, so they are kept ready
    gang: bool = False
    giving: int = 0  # on their way to another shard, by a write whose outcome we don't know yet: out of reach
    _waiting: tuple[tuple[int, ...], int] = ((), 0)

    def __post_init__(self) -> None:
        self.level = self.spec.priority.level
        self.gang = self.spec.gang

    @property
    def waiting_bits(self) -> int:
        """The tasks that could be started, as a bit set. Asked for far more often than it changes."""
        made_of = (self.owned, self.done, self.done_here, self.placed_bits, self.giving)
        if self._waiting[0] != made_of:
            self._waiting = (made_of, self._find_waiting())
        return self._waiting[1]

    def _find_waiting(self) -> int:
        left = self.owned & ~(self.done | self.done_here | self.placed_bits | self.giving)
        if left and not self.gang:
            finished = self.done | self.done_here
            base = lowest(~finished & (finished + 1))
            left &= (1 << (base + self.window)) - 1
        return left

    @property
    def startable(self) -> int:
        """How many of its tasks are worth a place now: of a job that fails everywhere one at a time, or its gang."""
        count = self.waiting_bits.bit_count()
        if self.failing and not self.gang:
            return min(count, 0 if self.placed else 1)
        return count

    @property
    def over(self) -> bool:
        """Nothing of it is left here. What is done, but not durable yet, must still be written down.

        While tasks are being given away, `owned` may be empty for a moment; a job forgotten then took the news of its
        last tasks with it, and they were run again.
        """
        return not self.owned and not self.placed and not self.done_here and not self.giving

    def waited(self, index: int, now: timedelta) -> timedelta:
        """How long a task has waited, since it was last stopped if it was."""
        return now - self.requeued.get(index, self.since)

    def place(self, placement: Placement) -> None:
        """Note a task's placement."""
        self.placed[placement.index] = placement
        self.placed_bits |= 1 << placement.index
        self.requeued.pop(placement.index, None)

    def unplace(self, index: int) -> None:
        """Note that a task is on no machine."""
        self.placed.pop(index, None)
        self.placed_bits &= ~(1 << index)

    def zones(self) -> Iterator[str]:
        """The zone of each of its tasks that may be on a machine."""
        for placement in self.placed.values():
            yield placement.machine.zone
