"""Messages from controllers to the cloud.

They are specified in the section "Controller nodes -> cloud" of the platform's protocol specification.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

Amount = Annotated[float, Meta(ge=0)]


class MachineType(Struct, frozen=True):
    """A type of machine that can be rented: item of GET /catalog.

    Prices are per hour. `cache_gb`: disk space for cached images. `fetch_gb_per_s`: speed of an image fetch. `boot_s`:
    time from the rental until the machine is up.
    """

    name: str = field(name="label")
    cpus: Amount
    accelerators: Amount
    memory_gb: Amount = field(name="ram_gb")
    cache_gb: Amount = field(name="local_gb")
    fetch_gb_per_s: Amount
    price: Amount
    spot_price: Amount = field(name="low_price")
    boot_s: Amount = field(name="startup_s")
    zones: list[str] = field(name="pastures")


class Catalog(Struct):
    """The machine types that can be rented: response to GET /catalog."""

    types: list[MachineType] = field(name="breeds")


class RentalRequest(Struct):
    """A request for `count` machines: POST /rentals.

    `request` is an idempotency key: a repeated request with the same key rents no further machines.
    """

    request: str = field(name="hire")
    type: str = field(name="breed")
    zone: str = field(name="pasture")
    spot: bool = field(name="strays")
    count: int = field(name="number")


class RentalResponse(Struct):
    """The names of the rented machines: response to POST /rentals."""

    machines: list[str] = field(name="mounts")


class DeletionRequest(Struct):
    """A request to delete machines: POST /rentals/delete."""

    machines: list[str] = field(name="mounts")


class ListedMachine(Struct):
    """A machine in the cloud's machine list: item of GET /rentals. The list can be some seconds out of date.

    `age_s`: time since the machine was rented.
    """

    name: str = field(name="ref")
    address: str
    type: str = field(name="breed")
    zone: str = field(name="pasture")
    spot: bool = field(name="strays")
    state: Literal["booting", "running", "failed"] = field(name="condition")
    age_s: float = field(name="held_s", default=0.0)


class MachineList(Struct):
    """A page of the machine list: response to GET /rentals. `more`: whether further pages follow."""

    machines: list[ListedMachine] = field(name="mounts")
    more: bool = False


catalog_decoder = msgspec.json.Decoder(Catalog)
rented_decoder = msgspec.json.Decoder(RentalResponse)
list_decoder = msgspec.json.Decoder(MachineList)
