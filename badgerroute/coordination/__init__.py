"""What the controllers agree on and do together: one package for each subject, and the controller made of them.

`controller` builds the subsystems in order and runs their background tasks, `gossip` broadcasts this controller's
state, and `socket_budget` divides the sockets. These own no keys: each package below says which are its own. They may
import `transport`, `protocol`, `settings`, `storage`, `scheduling`, `connectivity` and all packages of `coordination`.
"""
