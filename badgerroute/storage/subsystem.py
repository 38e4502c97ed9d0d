"""Builds the clients of the external services and the replica of the key-value store."""

from dataclasses import dataclass

from badgerroute.settings import Settings
from badgerroute.storage.cloud_client import CloudClient
from badgerroute.storage.key_value_client import KeyValueClient
from badgerroute.storage.replica import Replica
from badgerroute.transport.loop import Loop
from badgerroute.transport.net import Network


@dataclass(frozen=True, slots=True)
class Storage:
    """One controller's access to the key-value store and the cloud."""

    store: KeyValueClient
    replica: Replica
    cloud: CloudClient


def build_storage(settings: Settings, loop: Loop, network: Network) -> Storage:
    """Build the clients of the key-value store and the cloud, and the replica of the key-value store.

    Each client is limited to one controller's portion of the rate limits of its service.
    """
    params, endpoints = settings.params, settings.platform.endpoints
    store = KeyValueClient(loop, network, endpoints.state, params.state, params.size)
    cloud = CloudClient(loop, network, endpoints.cloud, params.cloud, params.size)
    return Storage(store, Replica(loop, store), cloud)
