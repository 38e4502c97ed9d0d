"""Jobs as the key-value store holds them: look-ups, submission, cancellation, progress, paging and dependencies.

Owns the keys of job records, their pages and the final states, the index of them in memory, and the notices of
cancellations among controllers. May import the transport, protocol, settings, storage and scheduling packages, and no
other package of `coordination`: what it needs of those is passed in, as the protocols that its modules declare.
"""
