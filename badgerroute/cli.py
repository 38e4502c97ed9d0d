"""The command line: runs a controller, checks its settings, or drains machines."""

import argparse
import logging
import os
import sys

from badgerroute import settings as settings_module

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}
DRAIN_COMMANDS = ("drain", "undrain")
OPERATOR_SETTINGS_VARIABLE = "BADGERROUTE_OPERATOR_SETTINGS"


def build_parser() -> argparse.ArgumentParser:
    """Build the argument parser for starting a controller or checking its settings."""
    parser = argparse.ArgumentParser(prog="badgerroute", description="Run a controller of the badgerroute scheduler.")
    parser.add_argument("--config", metavar="FILE", required=True, help="the platform's settings (TOML)")
    parser.add_argument(
        "--operator-settings",
        metavar="FILE",
        default=os.environ.get(OPERATOR_SETTINGS_VARIABLE),
        help=f"the operators' own settings (HCL); default: ${OPERATOR_SETTINGS_VARIABLE}, else none",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings, print what follows from them, and end"
    )
    return parser


def set_up_logging() -> None:
    """Log to standard error, one line per event, at the level that the environment variable LOG_LEVEL names."""
    level = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LOG_LEVELS.get(level, logging.INFO),
        format="level=%(levelname)s logger=%(name)s %(message)s",
    )
    logging.raiseExceptions = False
    if level not in LOG_LEVELS:
        logging.getLogger("badgerroute").warning("event=log_level_unknown value=%r used=info", level)


def describe(settings: settings_module.Settings) -> str:
    """Return the text that `--check` prints: the main settings and the times that are derived from them."""
    params, scheduling = settings.params, settings.operator.scheduling
    return "\n".join(
        [
            f"controller {settings.platform.host_name}: home shard {settings.home_shard} of {params.size}",
            f"teams: {', '.join(team.name for team in params.teams) or 'none'}",
            f"acts without confirmation of its leadership for {settings.grace.total_seconds():.1f} s",
            "assumes that an unresponsive machine's tasks have ended after "
            f"{settings.machine_lease.total_seconds():.1f} s",
            f"delay scheduling: tau {scheduling.tau}; utilization feedback: delta {scheduling.delta}, "
            f"rho {scheduling.rho}, period {scheduling.period_s} s",
        ]
    )


def main(arguments: list[str] | None = None) -> int:
    """Run the command that `arguments` name, by default those in `sys.argv`, and return the exit code."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments and arguments[0] in DRAIN_COMMANDS:
        from badgerroute.rebalancing import drain_command

        return drain_command.main(arguments[0], arguments[1:])
    options = build_parser().parse_args(arguments)
    set_up_logging()
    try:
        settings = settings_module.load(options.config, options.operator_settings)
    except settings_module.SettingsError as error:
        print(f"badgerroute: {error}", file=sys.stderr)
        return 2
    if options.check:
        print(describe(settings))
        return 0
    from badgerroute.daemon import run

    return run(settings)
