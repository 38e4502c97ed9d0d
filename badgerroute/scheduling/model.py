"""The records of one shard: its machines, its jobs, and the placements that tie tasks to machines.

Plain state and lookups; the decisions lie in the other modules of this package. The three classes stand in one module
because each refers to the others: a placement names its job and its machine, and both list their placements.

Times are points on this process's steady clock, as durations since its start. Bit sets are integers in which bit `i`
stands for task number `i` of the job.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.users import Submission
from badgerroute.protocol.workers import TaskStatus
from badgerroute.scheduling.resources import Resources
from badgerroute.scheduling.task_attempt import TaskAttempt
from badgerroute.scheduling.task_phase import PHASES_WITHOUT_IMAGE, Phase
from badgerroute.storage.bitset import lowest

ZERO = timedelta(0)


class HeartbeatNumber(NamedTuple):
    """Which heartbeat of a machine: the incarnation of its worker, and the number within it."""

    incarnation: int
    sequence: int


@dataclass(slots=True)
class Placement:
    """One attempt of one task on one machine, from the decision until the machine is provably rid of it."""

    job: "Job"
    index: int  # the task's number
    attempt: int
    machine: "Machine"
    phase: Phase
    start_requested_at: timedelta  # when the start was decided; once it has gone out, when it did
    running_since: timedelta | None = None
    sent: HeartbeatNumber | None = None  # of the heartbeat whose answer carried the start
    grace: timedelta | None = None  # set: the task is to stop, and has so much time to save its work
    stopped_at: timedelta | None = None  # when the command to stop first went out
    timing_known: bool = True  # its times are exact: no silence hid when it began to fetch or to run
    gang_wait_restarts: int = (
        0  # times that it was started again, with the same attempt number, to wait on for its gang
    )

    @property
    def key(self) -> tuple[str, int]:
        """The job's reference and the task's number."""
        return self.job.ref, self.index

    @property
    def stopping(self) -> bool:
        """Whether a command to stop it went out or is due."""
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
    free: Resources  # its capacity without what its placements take
    allocated_by_level: dict[int, Resources] = field(default_factory=dict)  # priority level -> what its tasks take
    stopping_count: int = 0  # tasks for which a command to stop went out or is due

    # What its heartbeats showed
    incarnation: int = 0  # of the last message taken in, as is `sequence`
    sequence: int = -1
    alive: bool = False  # it sends heartbeats, and its lease is not over
    last_message_at: timedelta | None = (
        None  # when its last message came, a heartbeat or the answer to a direct command
    )
    last_heartbeat: timedelta | None = None  # when a heartbeat of it last came here, not through a peer
    answered: timedelta | None = None  # when one of its heartbeats was last answered by this controller
    preemption_notice: timedelta | None = None  # when the cloud takes it away
    last_task_list: list[TaskStatus] | None = None  # None: the next list must be read even if it is the same

    # Fencing and leases
    fenced: bool = False  # it has seen this leader's term, and its task list was read since
    never_commanded: bool = False  # no leader ever gave it a command, so there is none to fence off
    highest_token_seen: int = 0
    expired_incarnation: int = 0  # its lease ended in this incarnation: messages of it, or of earlier ones, are stale
    missed_starts: int = 0  # heartbeats in a row that lacked a start which an answer had carried
    unreachable: bool = False  # its heartbeats arrive here, but the answers seem not to reach it
    lost_at: timedelta | None = None  # when its lease was found to be over

    # Tasks on it
    placements: dict[tuple[str, int], Placement] = field(default_factory=dict)  # by Placement.key
    exited: set[TaskAttempt] = field(default_factory=set)  # reported as exited, not cleared yet
    orphans: set[TaskAttempt] = field(default_factory=set)  # on it, but not of this shard: to be halted
    undecided: set[TaskAttempt] = field(default_factory=set)  # of jobs that may have been released: kept
    failed_jobs: dict[str, timedelta] = field(default_factory=dict)  # job -> first failure since a task was done here

    # Images
    images: dict[str, float] = field(default_factory=dict)  # image -> GB, least recently used first
    fetched_images: set[str] = field(default_factory=set)  # those of them whose fetch certainly ended

    # Placement
    draining: bool = False  # quarantined: nothing more starts on it
    drain_deadline: timedelta | None = None  # set: it is to be empty by then, and nothing more starts on it
    reserved_for: str | None = None  # the job for which free capacity is kept here
    reserved_until: timedelta | None = None
    idle_since: timedelta | None = None
    avoid_until: timedelta = ZERO  # after a failure or a refusal

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
        """Whether no task is on it, and no exit remains to be cleared."""
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
            self.fetched_images.discard(oldest)

    def awaits_image(self, gangs_only: bool = False) -> bool:
        """Whether a task here waits for an image that is still to come."""
        return any(
            placement.running_since is None
            and placement.phase in PHASES_WITHOUT_IMAGE
            and placement.job.spec.image not in self.fetched_images
            for placement in self.placements.values()
            if placement.job.gang or not gangs_only
        )

    def drop_unfetched_image(self, image: str) -> None:
        """A task that waited for an image is gone: if no other waits for it, the machine gives the fetch up.

        An image that was only begun must not count as cached, or gangs would be placed here to find it.
        """
        if image not in self.fetched_images and image in self.images:
            if all(placement.job.spec.image != image for placement in self.placements.values()):
                del self.images[image]


@dataclass(slots=True, eq=False)
class Job:
    """A job's tasks in this shard."""

    ref: str
    spec: Submission
    accepted: timedelta  # when it was accepted, or released if it waited for other jobs
    owned: int  # bit set: the tasks of this shard
    done: int  # bit set: the tasks of all shards that are recorded as done
    start_window: int  # array tasks start only in the window of so many numbers from the first that is not done
    need: Resources  # of each task
    since: timedelta  # when its tasks here began to wait
    done_here: int = 0  # bit set: reported done here, not recorded yet
    in_transfer: int = 0  # bit set: passed to another shard by a write whose outcome is unknown; they must not start
    placed: dict[int, Placement] = field(default_factory=dict)  # by task number
    placed_bits: int = 0  # bit set: the keys of `placed`
    requeued: dict[int, timedelta] = field(default_factory=dict)  # task number -> when it was last stopped
    gang: bool = False
    gang_attempt: int | None = None  # the attempt number that all tasks of a gang share
    written: timedelta = -timedelta(days=1)  # when its progress was last written down

    # Order of service
    level: int = 0  # of its priority, or of that of a job which depends on it
    guaranteed: bool = False  # it lies within its team's guarantee
    lateness_tier: float = 0  # due times it will miss, and a half if it can wait; below 0: it has waited too long
    dependency_wait: timedelta = ZERO  # from its acceptance to its release; its deadline counts from the acceptance
    start_by: timedelta | None = None  # if it starts later, a job that depends on it will be late
    blocked_until: timedelta = ZERO
    no_return_until: dict[str, timedelta] = field(default_factory=dict)  # machine -> its moved tasks stay away so long
    preemption_count: int = 0  # times that a gang was stopped for another job

    # Utilization feedback (see utilization_feedback): the desire, and samples of the current period
    desire: float = 0.0  # slots
    used_slots_sum: float = 0.0  # slots in use, summed over the samples
    granted_slots_sum: float = 0.0  # slots it could have used, summed over the samples
    samples: int = 0
    starved: bool = False  # in some sample, tasks waited
    period_began: timedelta | None = None  # None: it has no desire yet

    # Finished runs, for the mean run time
    total_run_time: timedelta = ZERO
    finished_runs: int = 0

    # Failures (see failures)
    failed_on: dict[str, int] = field(default_factory=dict)  # machine -> tasks of it that failed there
    last_failure_at: timedelta = ZERO
    failing: bool = False  # it fails on every machine, so it is itself at fault: one task at a time is tried
    probe_count: int = 0  # times that it was tried since
    _waiting: tuple[tuple[int, ...], int] = ((), 0)  # cache of `waiting_bits`: the bit sets it follows from, and it

    def __post_init__(self) -> None:
        self.level = self.spec.priority.level
        self.gang = self.spec.gang

    @property
    def waiting_bits(self) -> int:
        """Bit set: the tasks that could be started. Cached, since it is asked for far more often than it changes."""
        inputs = (self.owned, self.done, self.done_here, self.placed_bits, self.in_transfer)
        if self._waiting[0] != inputs:
            self._waiting = (inputs, self._find_waiting())
        return self._waiting[1]

    def _find_waiting(self) -> int:
        waiting = self.owned & ~(self.done | self.done_here | self.placed_bits | self.in_transfer)
        if waiting and not self.gang:
            finished = self.done | self.done_here
            base = lowest(~finished & (finished + 1))
            waiting &= (1 << (base + self.start_window)) - 1
        return waiting

    @property
    def startable(self) -> int:
        """How many of its tasks may start now: all that wait; of an array that fails everywhere, one at a time."""
        count = self.waiting_bits.bit_count()
        if self.failing and not self.gang:
            return min(count, 0 if self.placed else 1)
        return count

    @property
    def can_be_dropped(self) -> bool:
        """Whether nothing of it is left here.

        Tasks that are done but not recorded keep it alive: without their record they would be run again. So do tasks in
        transfer, during which `owned` may be empty for a moment.
        """
        return not self.owned and not self.placed and not self.done_here and not self.in_transfer

    def waited(self, index: int, now: timedelta) -> timedelta:
        """How long a task has waited; if it was stopped, since it last was."""
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
