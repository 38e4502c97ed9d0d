"""The constraints of a submission on machines: their type, their zone, and whether they may be spot machines."""

from badgerroute.protocol.users import Submission


def allows(submission: Submission, type_name: str, zone: str, spot: bool) -> bool:
    """Whether a task of the job may run on a machine of this type and zone, wherever the job's other tasks run."""
    return (
        (submission.types is None or type_name in submission.types)
        and (submission.zone is None or submission.zone == zone)
        and (submission.spot or not spot)
    )
