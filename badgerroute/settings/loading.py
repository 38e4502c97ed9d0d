"""Reads and checks both settings files before the controller starts. An error is one line that names the field."""

import importlib.util
import tomllib
from typing import Any

import msgspec

from badgerroute.settings.derived import Settings
from badgerroute.settings.operator import OperatorSettings
from badgerroute.settings.platform import PlatformSettings

JSON_SUFFIX = ".json"


class SettingsError(Exception):
    """A setting is invalid. The message is one line with the file, the field and the reason."""


def _convert(data: Any, struct_type: type, source: str) -> Any:
    try:
        return msgspec.convert(data, struct_type)
    except msgspec.ValidationError as error:
        message, _, location = str(error).partition(" - at ")
        path = location.strip("`").removeprefix("$.") or "top level"
        raise SettingsError(f"{source}: {path}: {message}") from None


def _check(platform: PlatformSettings, source: str) -> None:
    params = platform.params
    names = [platform.host_name, *(peer.host_name for peer in platform.peers)]
    if len(set(names)) != len(names):
        raise SettingsError(f"{source}: siblings: host_name used twice")
    if len(names) != params.size:
        raise SettingsError(f"{source}: params.size: is {params.size}, but {len(names)} controllers are named")
    for team in params.teams:
        if team.cpus > team.limits[0] or team.gpus > team.limits[1]:
            raise SettingsError(f"{source}: params.teams: {team.name} is guaranteed more than its limit")
    if len({team.name for team in params.teams}) != len(params.teams):
        raise SettingsError(f"{source}: params.teams: name used twice")
    workers = params.workers
    if workers.cancel_s <= workers.lease_s + 5:
        raise SettingsError(f"{source}: params.workers.cancel_s: must exceed lease_s by more than 5 s")
    for address in (platform.public_addr, platform.mesh_addr):
        if not 0 < int(address.rpartition(":")[2]) < 65536:
            raise SettingsError(f"{source}: port out of range: {address}")


def load_platform(path: str) -> PlatformSettings:
    """Read the platform's settings file. Raise SettingsError if a field is invalid."""
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None
    platform = _convert(data, PlatformSettings, path)
    _check(platform, path)
    return platform


def _unquote(value: Any) -> Any:
    """Normalize the result of python-hcl2, which quotes strings and returns blocks as lists of one element.

    Keys that python-hcl2 adds begin with `__` and are left out.
    """
    if isinstance(value, dict):
        return {key.strip('"'): _unquote(item) for key, item in value.items() if not key.startswith("__")}
    if isinstance(value, list) and len(value) == 1 and isinstance(value[0], dict):
        return _unquote(value[0])
    return value.strip('"') if isinstance(value, str) else value


def _check_operator(operator: OperatorSettings, source: str) -> None:
    connectivity = operator.connectivity
    if connectivity.longest_settle_s < connectivity.settle_s:
        raise SettingsError(f"{source}: connectivity.longest_settle_s: must not be below settle_s")
    rebalancing = operator.rebalancing
    if rebalancing is None:
        return
    if rebalancing.move_rest_s < rebalancing.move_period_s:
        raise SettingsError(f"{source}: rebalancing.move_rest_s: must not be below move_period_s")
    if importlib.util.find_spec("hdrh") is None:
        raise SettingsError(f"{source}: rebalancing: requires the packages in requirements-rebalancing.txt")


def _parse_hcl(text: str) -> Any:
    import hcl2  # imported only when needed: it loads a parser generator, which takes much memory

    return hcl2.loads(text)


def _parse_operator_file(path: str, text: str) -> Any:
    """Parse HCL, or its JSON form if the name of the file ends in .json.

    The JSON form exists because loading the HCL parser made controllers run out of memory on the smallest hosts.
    """
    try:
        return msgspec.json.decode(text) if path.endswith(JSON_SUFFIX) else _parse_hcl(text)
    except Exception as error:  # python-hcl2 does not wrap its parser's errors
        first_line = (str(error).strip().splitlines() or ["syntax error"])[0]
        raise SettingsError(f"{path}: not HCL: {first_line}") from None


def load_operator(path: str) -> OperatorSettings:
    """Read the operators' settings file. Raise SettingsError if a field is invalid."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as error:
        raise SettingsError(f"{path}: cannot be read: {error.strerror}") from None
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not HCL: {error}") from None
    data = _parse_operator_file(path, text)
    operator = _convert(_unquote(data), OperatorSettings, path)
    _check_operator(operator, path)
    return operator


def load(path: str, operator_path: str | None = None) -> Settings:
    """Read both settings files. Without a path for the operators' file, the defaults of its settings apply."""
    platform = load_platform(path)
    operator = load_operator(operator_path) if operator_path else OperatorSettings()
    return Settings(platform, operator)
