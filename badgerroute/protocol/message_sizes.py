"""Upper bounds for the sizes of messages to and from workers, in bytes.

The platform's protocol specification limits a request's body, and a line of a response, to 64 KiB. A worker's heartbeat
lists all tasks on its machine, so its size is bounded only by the number of tasks that controllers start there.
"""

import json

from badgerroute.protocol.common import COUNTER_LIMIT

MAX_MESSAGE_BYTES = 64 * 1024  # of a request's body, and of a line in a response to a worker
MAX_TEXT_CHARACTERS = 120  # of each text in a heartbeat
MAX_ESCAPED_BYTES = 12  # of one character in JSON: two escaped surrogates
MAX_COUNTER = COUNTER_LIMIT - 1
LONGEST_DURATION_S = 2.2250738585072014e-308  # no number has a longer encoding
# The token and the session of a message with commands, with everything else that surrounds the commands.
MAX_COMMANDS_ENVELOPE_BYTES = 128


def _longest_json(message: object) -> int:
    """Return the size of a message in the longest encoding that is in use: with a space after each separator."""
    return len(json.dumps(message))


_LONGEST_TASK_STATUS = {
    "head": "/99999",  # without the job's ID
    "try": MAX_COUNTER,
    "condition": "exited",
    "cause": "mates_gone",
    "kept": False,
}
_LONGEST_HEADER = {
    "mount": "",
    "address": "",
    "breed": "",
    "pasture": "",
    "strays": False,
    "ride": MAX_COUNTER,
    "tally": MAX_COUNTER,
    "crook": MAX_COUNTER,
    "recall_s": LONGEST_DURATION_S,
    "heads": [],
}
_HEADER_TEXTS = 4  # the machine's name, address, type and zone
_SEPARATOR_BYTES = 2
_MAX_HEADER_BYTES = _longest_json(_LONGEST_HEADER) + _HEADER_TEXTS * MAX_TEXT_CHARACTERS * MAX_ESCAPED_BYTES
TASK_LIST_BYTES = MAX_MESSAGE_BYTES - _MAX_HEADER_BYTES  # what a heartbeat has for its list of tasks
_MAX_TASK_STATUS_BYTES = _longest_json(_LONGEST_TASK_STATUS) + _SEPARATOR_BYTES


def max_task_status_bytes(ref: str) -> int:
    """Return the most that one task of a job takes of a heartbeat's list of tasks. `ref`: the job's ID, in ASCII."""
    return _MAX_TASK_STATUS_BYTES + len(ref)
