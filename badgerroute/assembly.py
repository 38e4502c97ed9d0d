"""Builds a controller with the optional subsystems that are enabled. Disabled subsystems are not even imported."""

from badgerroute.coordination.controller import Controller
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop, TaskGroup
from badgerroute.transport.net import Network


def build_controller(settings: Settings, loop: Loop, network: Network, group: TaskGroup) -> Controller:
    """Build a controller, with rebalancing if the operators' settings enable it."""
    rebalancing = settings.operator.rebalancing
    if rebalancing is None:
        return Controller(settings, loop, network, group)
    from badgerroute.rebalancing.service import Rebalancer

    rebalancer = Rebalancer(settings, rebalancing, loop)
    controller = Controller(settings, loop, network, group, rebalancer.new_guidance)
    rebalancer.attach(controller, group)
    return controller
