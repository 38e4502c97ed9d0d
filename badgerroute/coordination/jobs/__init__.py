"""Stored jobs: look-up, submission, cancellation, progress, the paging of large records, and dependencies.

A job's `ref` is the id that its user chose. Its predecessors are the upstream jobs that must be done before it may
start.

This package owns the keys `b/jobs/JOB` (records of unfinished jobs), `b/past/JOB` (final states), `b/done/JOB/PAGE` and
`b/before/JOB/PAGE` (pages with done tasks and with predecessors that do not fit into a job's record), the in-memory
index of these keys, and the cancellation notices between controllers. It may import `transport`, `protocol`,
`settings`, `storage` and `scheduling`, but no other package of `coordination`. If it needs an object
of another `coordination` package, the object is passed in, typed by a protocol that the module declares.
"""
