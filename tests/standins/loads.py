"""Loads that several tests and the measurement tool put on a day."""

from tests.standins.day import Day, job

ARRAY_PERIOD_S = 30  # seconds between two arrays, of the other teams in turn
TRIPLED_AFTER_S = 20  # seconds after which the hot team sends three times as many jobs


def hot_team(day: Day, seconds: int = 110, time_scale: float = 1.0, jobs: int = 4) -> None:
    """One team sends small jobs, three times as many after a while; two others send an array now and then.

    `time_scale` shortens every time of the load, for days in real time; `jobs` are those that it sends in two seconds at
    first, for fleets of other sizes.
    """
    sent = 0
    for second in range(0, seconds, 2):
        if second % ARRAY_PERIOD_S == 0:
            team = ("red", "green")[second // ARRAY_PERIOD_S % 2]
            day.submit(
                job(
                    f"run-array{second}",
                    crew=team,
                    heads=10 * jobs,
                    trek_s=4.0 * time_scale,
                    brand="img-2",
                    image_gb=0.2,
                )
            )
        names = [f"run-hot{sent + number}" for number in range(jobs if second < TRIPLED_AFTER_S else 3 * jobs)]
        sent += len(names)
        day.submit_together([job(name, crew="blue", heads=1, trek_s=6.0 * time_scale, image_gb=0.2) for name in names])
        day.run(2 * time_scale)
