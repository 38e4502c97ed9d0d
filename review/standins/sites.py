"""Settings like those of a small deployment: two zones, reports every second, two machine types, booked ahead."""

from typing import Any

ZONES = ["lagos-west", "lagos-island"]


def params() -> dict[str, Any]:
    """Return the settings that all controllers share."""
    return {
        "size": 3,
        "zones": ZONES,
        "time_bound_ms": 250.0,
        "teams": [
            {"name": "members-desk", "cpus": 104.0, "cpus_max": 320.0, "gpus": 0.0, "gpus_max": 0.0},
            {"name": "coaches-ops", "cpus": 56.0, "cpus_max": 96.0, "gpus": 0.0, "gpus_max": 0.0},
            {"name": "payments-ife", "cpus": 136.0, "cpus_max": 320.0, "gpus": 0.0, "gpus_max": 0.0},
        ],
        "objectives": [
            {"kind": "wait", "class": "roster-build", "within_s": 12.0, "share": 0.78},
            {"kind": "guarantee", "within_s": 5.0, "share": 0.85},
        ],
        "workers": {"report_s": 1.0, "lease_s": 11.0, "gang_wait_s": 45.0, "gang_peer_s": 4.0, "cancel_s": 36.0},
        "state": {"rps": 100.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 16},
        "cloud": {"rps": 6.0, "list_lag_s": 6.0},
        "resources": {"cpu": 0.18, "mem_mb": 106.0, "fd_limit": 600},
    }


def breeds() -> list[dict[str, Any]]:
    """Return the machine types of the cloud."""

    def breed(label: str, cpus: float, ram_gb: float, price: float, startup_s: float) -> dict[str, Any]:
        return {
            "label": label,
            "cpus": cpus,
            "accelerators": 0,
            "ram_gb": ram_gb,
            "local_gb": 40,
            "fetch_gb_per_s": 0.8,
            "price": price,
            "low_price": price / 3,
            "startup_s": startup_s,
            "pastures": ZONES,
        }

    return [breed("ogun-8", 8.0, 32.0, 0.37, 25.0), breed("zuma-32", 32.0, 64.0, 1.3, 30.0)]
