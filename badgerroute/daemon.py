"""Runs a controller as a process, with an event loop that uses the system's clock and TCP sockets."""

import gc
import logging

from badgerroute.assembly import build_controller
from badgerroute.settings import Settings
from badgerroute.transport.clock import SystemClock
from badgerroute.transport.loop import Loop, SelectorPoller, TaskGroup
from badgerroute.transport.net import TcpNetwork

log = logging.getLogger("badgerroute")


def run(settings: Settings) -> int:
    """Run a controller until it is interrupted or fails to start listening, and return the exit code."""
    poller = SelectorPoller()
    loop = Loop(SystemClock(), poller)
    group = TaskGroup(loop, settings.platform.host_name)
    gc.freeze()  # loaded modules and settings are never freed, so the garbage collector is told to skip them
    gc.set_threshold(20_000, 20, 50)
    controller = build_controller(settings, loop, TcpNetwork(loop, poller), group)
    try:
        loop.run(loop.spawn(controller.run(), "main"))
    except KeyboardInterrupt:
        group.cancel()
        return 130
    except OSError as error:
        log.error("event=listen_failed error=%s", error)
        return 1
    return 0
