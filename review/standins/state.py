"""A stand-in for the state service, after the section "Controller nodes -> state service" of PROTOCOL."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any

from review.standins.web import Answer, Call, serve

KEPT_CHANGES = 10_000
# Runs before a request is carried out, and again before its answer is sent. It may wait. If it returns False, the
# request is not carried out, or its answer is not sent; the connection then ends without a response.
Hook = Callable[[str, Call, str], Awaitable[bool]]


class Bucket:
    """A limit on a rate, with a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        self._rate, self._tokens, self._at = rate, rate, time.monotonic()

    def take(self, count: int) -> bool:
        """Take tokens, or return False if there are too few."""
        now = time.monotonic()
        self._tokens, self._at = min(self._rate, self._tokens + (now - self._at) * self._rate), now
        if self._tokens < min(count, self._rate):
            return False
        self._tokens -= count
        return True


class State:
    """The store, with an address for each controller. `down` and `refused` (host names) make it answer 503."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self._limits = settings
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self.ledger = 0
        self._log: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}  # lease -> time to live, end
        self._next_lease = 1
        self.down = False
        self.refused: set[str] = set()
        self.hook: Hook | None = None
        self._changed = asyncio.Event()
        self._requests, self._writes = Bucket(settings["rps"]), Bucket(settings["write_rps"])

    async def start(self, host: str) -> str:
        """Serve one controller; return the address for it."""

        async def handle(call: Call) -> Answer | None:
            if self.hook is not None and not await self.hook(host, call, "request"):
                return None
            answer = await self._handle(host, call)
            if self.hook is not None and not await self.hook(host, call, "answer"):
                return None
            return answer

        return (await serve(handle))[1]

    async def expire_leases(self) -> None:
        """End leases that were not renewed in time; runs until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            if not self.down:
                for lease in [lease for lease, (_, end) in self._leases.items() if end < time.monotonic()]:
                    self._end_lease(lease)

    def outage(self, down: bool) -> None:
        """Begin or end an outage for everybody. After it, every lease has its full time again."""
        if self.down and not down:
            self._leases = {lease: (ttl, time.monotonic() + ttl) for lease, (ttl, _) in self._leases.items()}
        self.down = down

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item[2] == lease]
        if keys:
            self.ledger += 1
            for key in keys:
                self._remove(key)
            self._notify()

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._log.append({"remove": key, "mark": self.ledger})

    def _notify(self) -> None:
        del self._log[:-KEPT_CHANGES]
        self._changed.set()
        self._changed = asyncio.Event()

    def _refuses(self, host: str) -> bool:
        return self.down or host in self.refused

    async def _handle(self, host: str, call: Call) -> Answer:
        await asyncio.sleep(0.003)
        if self._refuses(host):
            return 503, {"error": "down"}
        if not self._requests.take(1):
            return 429, {"error": "too many requests"}
        match call.method, call.path.split("/")[1]:
            case "POST", "txn":
                return self._txn(call)
            case "GET", "kv":
                return self._list(call.query) if call.path == "/kv" else self._get(call.path.removeprefix("/kv/"))
            case "GET", "follow":
                return await self._follow(host, call.query)
            case _, "grants":
                return self._grant(call)
        return 400, {"error": "malformed"}

    def _grant(self, call: Call) -> Answer:
        if call.path == "/grants":
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            ttl = call.body["ttl_ms"] / 1000
            self._leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"tether": lease}
        lease = int(call.path.split("/")[2])
        if lease not in self._leases:
            return 404, {}
        if call.method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        ttl, _ = self._leases[lease]
        self._leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {}

    def _get(self, key: str) -> Answer:
        item = self.items.get(key)
        if item is None:
            return 404, {"ledger": self.ledger}
        return 200, {"key": key, "value": item[0], "mark": item[1], "tether": item[2]}

    def _list(self, query: dict[str, str]) -> Answer:
        keys = sorted(key for key in self.items if key.startswith(query["under"]) and key > query.get("since", ""))
        rows, size = [], 0
        for key in keys[: min(1000, int(query.get("limit", "1000")))]:
            row = {"key": key, "value": self.items[key][0], "mark": self.items[key][1]}
            size += len(json.dumps(row))
            if rows and size > 512 * 1024:
                break
            rows.append(row)
        return 200, {"rows": rows, "more": len(rows) < len(keys), "ledger": self.ledger}

    async def _follow(self, host: str, query: dict[str, str]) -> Answer:
        since, end = int(query["since"]), time.monotonic() + int(query.get("block_ms", "0")) / 1000
        while True:
            changed = self._changed
            if not self._refuses(host):
                if len(self._log) == KEPT_CHANGES and self._log[0]["mark"] > since + 1:
                    return 410, {}
                log = [entry for entry in self._log if entry["mark"] > since]
                log = [entry for entry in log if (entry.get("write") or entry["remove"]).startswith(query["under"])]
                if log or time.monotonic() >= end:
                    return 200, {"ledger": self.ledger, "log": log}
            try:
                await asyncio.wait_for(changed.wait(), 0.1 if self._refuses(host) else max(0.0, end - time.monotonic()))
            except TimeoutError:
                continue

    def _txn(self, call: Call) -> Answer:
        body = call.body
        changes = body.get("apply", [])
        if not self._writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        return self.apply(body, len(call.raw))

    def apply(self, body: dict[str, Any], size: int = 0) -> Answer:
        """Carry out a transaction, or say why not."""
        changes = body.get("apply", [])
        most = self._limits["txn_ops"]
        values = [len(json.dumps(change["value"], separators=(",", ":"))) for change in changes if "write" in change]
        too_large = max(values, default=0) > self._limits["value_kb"] * 1024 or size > 64 * 1024
        if too_large or len(changes) > most or len(body["if"]) > 4 * most:
            return 400, {"error": "too large"}
        if any(change.get("tether") is not None and change["tether"] not in self._leases for change in changes):
            return 400, {"error": "no such lease"}
        failed = [
            check["key"] for check in body["if"] if self.items.get(check["key"], (None, 0, None))[1] != check["mark"]
        ]
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if changes:
            self.ledger += 1
        for change in changes:
            if "write" in change:
                self.items[change["write"]] = (change["value"], self.ledger, change.get("tether"))
                self._log.append({"write": change["write"], "value": change["value"], "mark": self.ledger})
            else:
                self._remove(change["remove"])
        self._notify()
        return 200, {"ledger": self.ledger}
