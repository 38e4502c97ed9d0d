"""Controllers -> cloud: PROTOCOL, "Controller nodes -> cloud"."""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Struct, field

Amount = Annotated[float, Meta(ge=0)]


class MachineType(Struct, frozen=True):
    """A type of machine that can be rented (GET /catalog). Prices are per hour; `fetch_gb_per_s` is for images."""

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
    """The machine types that can be rented: response of GET /catalog."""

    types: list[MachineType] = field(name="breeds")


class RentalRequest(Struct):
    """Asks for `count` machines: POST /rentals. Repeated under the same name it rents nothing more."""

    request: str = field(name="hire")
    type: str = field(name="breed")
    zone: str = field(name="pasture")
    spot: bool = field(name="strays")
    count: int = field(name="number")


class Rented(Struct):
    """The names of the machines that were rented: response of POST /rentals."""

    machines: list[str] = field(name="mounts")


class Deletion(Struct):
    """Machines to be deleted: POST /rentals/delete."""

    machines: list[str] = field(name="mounts")


class ListedMachine(Struct):
    """A machine as the cloud's list has it, which lags (GET /rentals). `age_s`: how long it has been rented."""

    name: str = field(name="ref")
    address: str
    type: str = field(name="breed")
    zone: str = field(name="pasture")
    spot: bool = field(name="strays")
    state: Literal["booting", "running", "failed"] = field(name="condition")
    age_s: float = field(name="held_s", default=0.0)


class MachineList(Struct):
    """A page of the machine list: response of GET /rentals."""

    machines: list[ListedMachine] = field(name="mounts")
    more: bool = False


catalog_decoder = msgspec.json.Decoder(Catalog)
rented_decoder = msgspec.json.Decoder(Rented)
list_decoder = msgspec.json.Decoder(MachineList)
