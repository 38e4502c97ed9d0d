"""Jobs as the key-value store holds them: look-ups, submission, cancellation, progress, paging and dependencies.

Owns the keys `b/jobs/JOB` (unfinished jobs), `b/past/JOB` (final states), `b/done/JOB/PAGE` and `b/before/JOB/PAGE`
(what does not fit a job's record), their index in memory, and the notices of cancellations among controllers. May
import `transport`, `protocol`, `settings`, `storage` and `scheduling`, and no other package of `coordination`: what it
needs of those is passed in, as the protocols that its modules declare.
"""
