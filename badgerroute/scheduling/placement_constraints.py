"""The constraints of a submission on machines: their type, their zone, and whether they may be spot machines."""

from collections.abc import Mapping

from badgerroute.protocol.users import Submission


def allows(submission: Submission, type_name: str, zone: str, spot: bool) -> bool:
    """Whether a task of the job may run on a machine of this type and zone, wherever the job's other tasks run."""
    return (
        (submission.types is None or type_name in submission.types)
        and (submission.zone is None or submission.zone == zone)
        and (submission.spot or not spot)
    )


def max_tasks_per_zone(submission: Submission) -> int:
    """How many tasks of the job may be in one zone at the same time."""
    return (submission.tasks + 1) // 2 if submission.spread else submission.tasks


def gang_fits(submission: Submission, slots_by_zone: Mapping[str, int]) -> bool:
    """Whether all tasks of the job fit at once, given how many would fit in each zone without its zone constraints."""
    if submission.together:
        return max(slots_by_zone.values(), default=0) >= submission.tasks
    most = max_tasks_per_zone(submission)
    return sum(min(slots, most) for slots in slots_by_zone.values()) >= submission.tasks
