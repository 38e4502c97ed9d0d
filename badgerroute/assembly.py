"""A controller with the subsystems that the operators have switched on; these are loaded only then."""

from badgerroute.coordination.controller import Controller
from badgerroute.settings import Settings
from badgerroute.transport.loop import Loop, TaskGroup
from badgerroute.transport.net import Network


def build_controller(settings: Settings, loop: Loop, network: Network, group: TaskGroup) -> Controller:
    """A controller that is ready to run."""
    rebalancing = settings.operator.rebalancing
    if rebalancing is None:
        return Controller(settings, loop, network, group)
    from badgerroute.rebalancing.service import Rebalancer

    rebalancer = Rebalancer(settings, rebalancing, loop)
    controller = Controller(settings, loop, network, group, rebalancer.guidance)
    rebalancer.attach(controller, group)
    return controller
