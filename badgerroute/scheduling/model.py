"""The in-memory state of one shard: machines, jobs, and placements, which assign tasks to machines.

These classes hold state and simple lookups; the other modules of this package make the decisions. The three classes
share a module because they refer to each other: a placement has a job and a machine, and both list their placements.

Times are points on this process's monotonic clock, as durations since its start. Bit sets are integers in which bit
`i` stands for task number `i` of the job. A slot is capacity for one task of a job. A job is released, that is, may be
scheduled, when all its upstream jobs are done.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from badgerroute.protocol.cloud import MachineType
from badgerroute.protocol.message_sizes import max_task_status_bytes
from badgerroute.protocol.users import Submission
from badgerroute.protocol.workers import TaskStatus
from badgerroute.scheduling.resources import Resources, capacity_of
from badgerroute.scheduling.task_attempt import TaskAttempt
from badgerroute.scheduling.task_phase import PHASES_WITHOUT_IMAGE, Phase
from badgerroute.storage.bitset import lowest_bit

ZERO = timedelta(0)
# A worker drops the answer to a heartbeat 4 s after it sent the heartbeat; its clock may run slower than ours.
ANSWER_LIFETIME = timedelta(seconds=4.1)


class HeartbeatNumber(NamedTuple):
    """Identifies a heartbeat of a machine: the worker's incarnation and the sequence number within it."""

    incarnation: int
    sequence: int


@dataclass(slots=True)
class Placement:
    """One attempt of one task on one machine.

    It exists from the decision to start the task until it is proven that the machine no longer runs it.
    """

    job: "Job"
    index: int  # the task's number
    attempt: int
    machine: "Machine"
    phase: Phase
    start_requested_at: timedelta  # when the start command was first sent; before that, when the task was placed
    running_since: timedelta | None = None
    sent: HeartbeatNumber | None = None  # the heartbeat whose response carried the start command
    grace: timedelta | None = None  # if the task is to stop: the time that it has to save its work
    stopped_at: timedelta | None = None  # when the command to stop it was first sent
    timing_known: bool = True  # False if the machine or the controller was silent when the task began to fetch or run
    gang_wait_restarts: int = 0  # how often it was restarted, as the same attempt, to wait for its gang longer

    @property
    def key(self) -> tuple[str, int]:
        """The job's ID and the task's number."""
        return self.job.ref, self.index

    @property
    def task(self) -> str:
        """The task's name in messages: `job/number`."""
        return f"{self.job.ref}/{self.index}"

    @property
    def task_attempt(self) -> TaskAttempt:
        """The attempt's identity."""
        return TaskAttempt(self.job.ref, self.index, self.attempt)

    @property
    def stopping(self) -> bool:
        """Whether a command to stop the task was sent or is due."""
        return self.grace is not None


@dataclass(slots=True, eq=False)
class Machine:
    """A machine of a shard: its state as reported by its heartbeats, and the tasks assigned to it."""

    name: str
    address: str
    machine_type: MachineType
    zone: str
    spot: bool
    joined_at: timedelta
    free: Resources  # its capacity less the resources of its placements
    allocated_by_level: dict[int, Resources] = field(default_factory=dict)  # job level -> resources of the tasks
    stopping_count: int = 0  # placements that are stopping (`Placement.stopping`)

    # Reported by its heartbeats
    incarnation: int = 0  # `incarnation` and `sequence` are those of the last message processed
    sequence: int = -1
    alive: bool = False  # it sends heartbeats, and its lease has not expired
    last_message_at: timedelta | None = None  # when its last heartbeat or response to a direct command arrived
    last_heartbeat_at: timedelta | None = None  # when the last heartbeat arrived directly, not through a peer
    last_response_at: timedelta | None = None  # when this controller last responded to one of its heartbeats
    preemption_notice: timedelta | None = None  # when the cloud provider will reclaim it, if that was announced
    last_task_list: list[TaskStatus] | None = None  # None: read the next list even if it is unchanged

    # Fencing and leases
    fenced: bool = False  # it saw this leader's fencing token, and its task list was read afterwards
    never_commanded: bool = False  # no leader ever sent it a command, so there is no former leader to fence off
    highest_token_seen: int = 0  # the highest fencing token that it has reported
    # The last incarnation in which its lease expired. Messages of this or an earlier incarnation are stale.
    expired_incarnation: int = 0
    missed_starts: int = 0  # consecutive heartbeats that lacked a task although its start command had been sent
    unreachable: bool = False  # its heartbeats arrive, but the responses apparently do not reach it
    lost_at: timedelta | None = None  # when its lease was found to have expired

    # Tasks on it
    placements: dict[tuple[str, int], Placement] = field(default_factory=dict)  # by Placement.key
    exited: set[TaskAttempt] = field(default_factory=set)  # reported as exited, not yet cleared from its task list
    # Tasks on it that do not belong to this shard, and so are to be halted
    orphans: set[TaskAttempt] = field(default_factory=set)
    # Tasks whose job may or may not have been released; they are left running until this is known
    undecided: set[TaskAttempt] = field(default_factory=set)
    # Space that the tasks without a placement take in its heartbeat's task list; `free` does not contain it
    unplaced_list_bytes: int = 0
    # Attempt -> when its start was sent last; those of which a copy may still be carried out, oldest first
    recent_starts: dict[TaskAttempt, timedelta] = field(default_factory=dict)
    # Job -> its first failure on this machine since any task was last done here
    failed_jobs: dict[str, timedelta] = field(default_factory=dict)

    # Images
    images: dict[str, float] = field(default_factory=dict)  # image -> GB, least recently used first
    fetched_images: set[str] = field(default_factory=set)  # the subset of `images` whose fetch has certainly ended

    # Placement
    # No task is started on it, since it was quarantined after failures, is about to be returned to the cloud, or is
    # being transferred to another shard.
    unschedulable: bool = False
    drain_deadline: timedelta | None = None  # while it drains: when it must be empty; no task is started on it
    reserved_for: str | None = None  # the job for which its free capacity is reserved
    reserved_until: timedelta = ZERO  # when the reservation, if there is one, ends
    idle_since: timedelta | None = None
    avoid_until: timedelta = ZERO  # after a failure or a refused start: no task is placed on it before this time

    @property
    def usable(self) -> bool:
        """Whether tasks may be started on the machine."""
        return (
            self.alive
            and self.fenced
            and not self.unschedulable
            and self.drain_deadline is None
            and not self.unreachable
            and self.preemption_notice is None
            and not self.undecided
        )

    def reclaimable(self, level: int) -> Resources:
        """The capacity that this machine could offer to a job of a level: what is free or used at lower levels."""
        total = self.free.copy()
        for allocated_level, allocated in self.allocated_by_level.items():
            if allocated_level < level:
                total.add(allocated)
        return total

    def reserve(self, ref: str, until: timedelta) -> None:
        """Reserve the free capacity for a job, until a given time at most: the job may never get what else it needs."""
        self.reserved_for, self.reserved_until = ref, until

    def end_reservation(self) -> None:
        """Let every job use the free capacity."""
        self.reserved_for = None

    def reserved_slots(self, job: "Job") -> int:
        """How many tasks of a job will fit here because of a reservation: at least one, even while tasks are stopping.

        0 if the machine is not reserved for the job.
        """
        return max(1, self.free.count_fitting(job.task_resources)) if self.reserved_for == job.ref else 0

    @property
    def empty(self) -> bool:
        """Whether the machine has no tasks, and no exited tasks that must still be cleared from its task list."""
        return not self.placements and not self.exited and not self.orphans and not self.undecided

    def free_everything(self) -> None:
        """Free all resources, to discard accumulated rounding errors once no task is placed here."""
        self.free = capacity_of(self.machine_type)
        self.free.list_bytes -= self.unplaced_list_bytes
        self.allocated_by_level.clear()

    def count_unplaced(self) -> None:
        """Count the space of all tasks in its task list that have no placement. Call it when these have changed."""
        tasks = (*self.exited, *self.orphans, *self.undecided)
        self._set_unplaced_list_bytes(sum(max_task_status_bytes(task.ref) for task in tasks))

    def forget_old_starts(self, now: timedelta) -> None:
        """Forget the starts of which the worker would drop every copy by now."""
        for attempt, sent_at in list(self.recent_starts.items()):
            if now - sent_at <= ANSWER_LIFETIME:
                break
            del self.recent_starts[attempt]

    def expect_cleared(self, ref: str) -> None:
        """Free the space of one exited task, which a command in the answer to its last heartbeat clears."""
        self._set_unplaced_list_bytes(self.unplaced_list_bytes - max_task_status_bytes(ref))

    def _set_unplaced_list_bytes(self, size: int) -> None:
        self.free.list_bytes += self.unplaced_list_bytes - size
        self.unplaced_list_bytes = size

    def touch_image(self, image: str, size_gb: float) -> None:
        """Mark an image as most recently used, and drop the images that no longer fit in the cache."""
        if self.images and next(reversed(self.images)) == image:
            return
        self.images.pop(image, None)
        self.images[image] = size_gb
        total = sum(self.images.values())
        while total > self.machine_type.cache_gb and len(self.images) > 1:
            oldest = next(iter(self.images))
            total -= self.images.pop(oldest)
            self.fetched_images.discard(oldest)

    def awaits_image(self, gangs_only: bool = False) -> bool:
        """Whether a task on this machine waits for an image that is not yet fetched.

        With `gangs_only`, only the tasks of gangs count.
        """
        return any(
            placement.running_since is None
            and placement.phase in PHASES_WITHOUT_IMAGE
            and placement.job.spec.image not in self.fetched_images
            for placement in self.placements.values()
            if placement.job.gang or not gangs_only
        )

    def drop_unfetched_image(self, image: str) -> None:
        """Remove an image that is not fetched yet if no task uses it any more, since the worker then cancels the fetch.

        A partially fetched image must not count as cached, or gangs would be placed here because of it.
        """
        if image not in self.fetched_images and image in self.images:
            if all(placement.job.spec.image != image for placement in self.placements.values()):
                del self.images[image]


@dataclass(slots=True, eq=False)
class Job:
    """A job, and the state of those of its tasks that belong to this shard."""

    ref: str
    spec: Submission
    accepted: timedelta  # when it was accepted, or released if it waited for upstream jobs
    owned: int  # bit set: the tasks that belong to this shard
    done: int  # bit set: the tasks, of any shard, that are recorded as done
    # An array's task may start only if its number is less than this plus the number of the first task that is not done.
    start_window: int
    task_resources: Resources  # resources that each task uses
    waiting_since: timedelta  # when its tasks began to wait in this shard
    arrived_at: float = 0.0  # `accepted` as POSIX time, derived from records only and so the same in every shard
    done_here: int = 0  # bit set: tasks reported as done in this shard, but not yet recorded as done
    in_transfer: int = 0  # bit set: given to another shard by a write whose outcome is unknown; not to be started
    placements: dict[int, Placement] = field(default_factory=dict)  # by task number
    placed_bits: int = 0  # bit set: the keys of `placements`
    requeued: dict[int, timedelta] = field(default_factory=dict)  # task number -> when it last returned to the queue
    gang: bool = False
    gang_attempt: int | None = None  # the attempt number that all tasks of a gang share
    progress_written_at: timedelta = -timedelta(days=1)  # when its progress was last written to the key-value store

    # Order of service
    level: int = 0  # its priority level, or a higher one inherited from a downstream job
    guaranteed: bool = False  # it is within its team's guarantee
    # The number of due times that it will miss, plus 0.5 if it has enough spare time for other jobs to go first (see
    # `deadline_feasibility`). Negative if it has waited too long and so goes before the other jobs.
    lateness_tier: float = 0
    dependency_wait: timedelta = ZERO  # from its acceptance to its release; its deadline counts from the acceptance
    start_by: timedelta | None = None  # a downstream job will be late if this job starts after this time
    blocked_until: timedelta = ZERO  # none of its tasks is started before this time
    # Machine -> time. Tasks of this job that were moved away from the machine are not started there before that time.
    no_return_until: dict[str, timedelta] = field(default_factory=dict)
    preemption_count: int = 0  # times that this gang was preempted

    # Utilization feedback (see utilization_feedback): the desired slots, and the samples of the current feedback period
    desire: float = 0.0  # number of slots that its utilization feedback computed for this shard
    used_slots_sum: float = 0.0  # number of slots in use, summed over the samples
    granted_slots_sum: float = 0.0  # slots available to it, at most the desired ones, summed over the samples
    samples: int = 0
    starved: bool = False  # tasks were waiting in at least one sample
    period_began: timedelta | None = None  # None until its first number of desired slots is computed

    # Finished runs, from which the mean run time is computed
    total_run_time: timedelta = ZERO
    finished_runs: int = 0

    # Failures (see failures)
    failed_on: dict[str, int] = field(default_factory=dict)  # machine -> failures of its tasks there
    last_failure_at: timedelta = ZERO
    failing: bool = False  # it fails on every machine and so seems faulty itself; one task at a time is tried
    probe_count: int = 0  # failed tries of a failing job; they determine its backoff
    _waiting: tuple[tuple[int, ...], int] = ((), 0)  # cache of `waiting_bits`: its inputs and its value

    def __post_init__(self) -> None:
        self.level = self.spec.priority.level
        self.gang = self.spec.gang

    @property
    def waiting_bits(self) -> int:
        """The tasks that may be started, as a bit set. Cached, since it is read far more often than it changes."""
        inputs = (self.owned, self.done, self.done_here, self.placed_bits, self.in_transfer)
        if self._waiting[0] != inputs:
            self._waiting = (inputs, self._find_waiting())
        return self._waiting[1]

    def _find_waiting(self) -> int:
        waiting = self.owned & ~(self.done | self.done_here | self.placed_bits | self.in_transfer)
        if waiting and not self.gang:
            finished = self.done | self.done_here
            base = lowest_bit(~finished & (finished + 1))
            waiting &= (1 << (base + self.start_window)) - 1
        return waiting

    @property
    def startable(self) -> int:
        """The number of tasks that may start now: all waiting ones, but one at a time of an array marked as failing."""
        count = self.waiting_bits.bit_count()
        if self.failing and not self.gang:
            return min(count, 0 if self.placements else 1)
        return count

    @property
    def can_be_dropped(self) -> bool:
        """Whether the shard may forget this job.

        It must keep the job while some tasks are done but not yet recorded as done, since they would run again. It must
        also keep the job while tasks are in transfer to another shard, when `owned` may be empty for a moment.
        """
        return not self.owned and not self.placements and not self.done_here and not self.in_transfer

    def waited(self, index: int, now: timedelta) -> timedelta:
        """How long a task has waited: since it last returned to the queue or, if it never did, `waiting_since`."""
        return now - self.requeued.get(index, self.waiting_since)

    def place(self, placement: Placement) -> None:
        """Record the placement of a task."""
        self.placements[placement.index] = placement
        self.placed_bits |= 1 << placement.index
        self.requeued.pop(placement.index, None)

    def unplace(self, index: int) -> None:
        """Record that a task is on no machine."""
        self.placements.pop(index, None)
        self.placed_bits &= ~(1 << index)

    def zones(self) -> Iterator[str]:
        """Yield the zone of each placement, so a zone appears once for every task in it."""
        for placement in self.placements.values():
            yield placement.machine.zone
