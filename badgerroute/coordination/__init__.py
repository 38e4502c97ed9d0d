"""The coordination between controllers: one package for each subsystem, and the controller that combines them.

`controller` builds the subsystems in order and runs their background tasks, `gossip` broadcasts this controller's
state, and `socket_budget` divides the available sockets. These modules own no keys; each package documents its own.
They may import `transport`, `protocol`, `settings`, `storage`, `scheduling`, `connectivity` and all packages of
`coordination`.
"""
