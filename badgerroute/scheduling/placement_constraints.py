"""Which machines a submission admits: its machine types, its zone, and whether it takes spot machines."""

from badgerroute.protocol.users import Submission


def allows(job: Submission, type_name: str, zone: str, spot: bool) -> bool:
    """Whether a task of the job may run on such a machine, regardless of where the job's other tasks run."""
    return (
        (job.types is None or type_name in job.types)
        and (job.zone is None or job.zone == zone)
        and (job.spot or not spot)
    )
