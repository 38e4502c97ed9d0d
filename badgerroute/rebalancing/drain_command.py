"""The commands `badgerroute drain` and `badgerroute undrain`.

They write to the key-value store directly, not through a controller, so that they work even while no controller leads
the machine's shard.
"""

import argparse
import sys
from datetime import UTC, datetime, timedelta

from badgerroute.rebalancing.drain_requests import DrainAnswer, DrainOutcome, DrainRequests
from badgerroute.settings import SettingsError, load
from badgerroute.storage.errors import StoreUnavailableError
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.transport.clock import SystemClock
from badgerroute.transport.loop import Loop, SelectorPoller
from badgerroute.transport.net import TcpNetwork

DRAIN, UNDRAIN = "drain", "undrain"
DEFAULT_WITHIN_S = 120.0
EXIT_OK, EXIT_BAD_USAGE, EXIT_UNREACHABLE, EXIT_NOT_FOUND = 0, 2, 3, 5
NOT_FOUND_ANSWERS = (DrainAnswer.UNKNOWN, DrainAnswer.GONE)


def build_parser(command: str) -> argparse.ArgumentParser:
    """Build the parser for the arguments of `drain` or `undrain`."""
    parser = argparse.ArgumentParser(prog=f"badgerroute {command}")
    parser.add_argument("--config", metavar="FILE", required=True, help="the platform's settings (TOML)")
    parser.add_argument("machines", metavar="MACHINE", nargs="+")
    if command == DRAIN:
        parser.add_argument(
            "--within", metavar="SECONDS", type=float, default=DEFAULT_WITHIN_S, help="be empty by then (default: 120)"
        )
        parser.add_argument("--delete", action="store_true", help="delete the machine at the cloud once it is empty")
    return parser


def main(command: str, arguments: list[str]) -> int:
    """Run the command and return its exit code."""
    options = build_parser(command).parse_args(arguments)
    try:
        settings = load(options.config)
    except SettingsError as error:
        print(f"badgerroute: {error}", file=sys.stderr)
        return EXIT_BAD_USAGE
    if command == DRAIN and not options.within > 0:
        print("badgerroute: --within: must be above 0", file=sys.stderr)
        return EXIT_BAD_USAGE
    poller = SelectorPoller()
    loop = Loop(SystemClock(), poller)
    params = settings.params
    # The store's rate limits are divided equally among its clients. The command counts itself as one more client in
    # addition to the controllers, and limits its own rate to one client's portion.
    address = settings.platform.endpoints.state
    store = KeyValueClient(loop, TcpNetwork(loop, poller), address, params.state, params.size + 1)
    return loop.run(loop.spawn(_run(command, options, DrainRequests(loop, store)), command))


async def _run(command: str, options: argparse.Namespace, requests: DrainRequests) -> int:
    code = EXIT_OK
    for machine in options.machines:
        try:
            if command == DRAIN:
                outcome = await requests.drain(machine, timedelta(seconds=options.within), options.delete)
            else:
                outcome = await requests.undrain(machine)
        except StoreUnavailableError as error:
            print(f"badgerroute: {machine}: the state service does not answer ({error}); try again", file=sys.stderr)
            return EXIT_UNREACHABLE
        if outcome.answer in NOT_FOUND_ANSWERS:
            print(f"badgerroute: {machine}: {outcome.answer}", file=sys.stderr)
            code = EXIT_NOT_FOUND
        else:
            print(f"{machine}: {_describe(outcome)}")
    return code


def _describe(outcome: DrainOutcome) -> str:
    if outcome.deadline is None:
        return outcome.answer.value
    return f"{outcome.answer}, empty by {datetime.fromtimestamp(outcome.deadline, UTC):%Y-%m-%dT%H:%M:%SZ}"
