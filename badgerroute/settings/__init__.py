"""The settings of a controller: the platform's (TOML), the operators' (HCL), and values derived from both.

Owns the names, types and limits of all settings. Their values are read once, at startup, and do not change. Uses no
keys of the key-value store. Imports no other package of badgerroute.
"""

from badgerroute.settings.derived import Settings
from badgerroute.settings.loading import SettingsError, load, load_operator, load_platform
from badgerroute.settings.operator import (
    Connectivity,
    ElectionSettings,
    FleetSettings,
    OperatorSettings,
    Rebalancing,
    Scheduling,
)
from badgerroute.settings.platform import (
    CloudLimits,
    Endpoints,
    HostLimits,
    LaterStoreLimits,
    Objective,
    Params,
    PeerAddress,
    PlatformSettings,
    StoreLimits,
    Team,
    WorkerLimits,
)

__all__ = [
    "ElectionSettings",
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
    "HostLimits",
    "Scheduling",
    "Settings",
    "SettingsError",
    "PeerAddress",
    "StoreLimits",
    "Team",
    "WorkerLimits",
    "load",
    "load_operator",
    "load_platform",
]
