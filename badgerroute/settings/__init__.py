"""The settings of a controller: the platform's (TOML), the operators' own (HCL), and what follows from both."""

from badgerroute.settings.derived import Settings
from badgerroute.settings.loading import SettingsError, load, load_operator, load_platform
from badgerroute.settings.operator import (
    Connectivity,
    FleetSettings,
    LeaderElection,
    OperatorSettings,
    Rebalancing,
    Scheduling,
)
from badgerroute.settings.platform import (
    CloudLimits,
    Endpoints,
    LaterStoreLimits,
    Objective,
    Params,
    Peer,
    PlatformSettings,
    Resources,
    StoreLimits,
    Team,
    WorkerLimits,
)

__all__ = [
    "LeaderElection",
    "CloudLimits",
    "Connectivity",
    "Endpoints",
    "FleetSettings",
    "LaterStoreLimits",
    "Objective",
    "OperatorSettings",
    "Params",
    "PlatformSettings",
    "Rebalancing",
    "Resources",
    "Scheduling",
    "Settings",
    "SettingsError",
    "Peer",
    "StoreLimits",
    "Team",
    "WorkerLimits",
    "load",
    "load_operator",
    "load_platform",
]
