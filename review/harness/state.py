"""A stand-in of the state service, with an address of its own for each controller and faults for each of them."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import unquote

from review.harness.http import Answer, Server

NO_ANSWER_S = 60.0


class State:
    """Keys with revisions, leases, transactions and watches as in PROTOCOL, "Controller nodes -> state service"."""

    def __init__(self, value_kb: float, txn_ops: int) -> None:
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self.ledger, self.next_lease = 0, 1
        self.log: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}  # lease -> time to live, end
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.latency = 0.003
        self.down = False  # an outage: 503 for everybody, no lease ends
        self.refused: set[str] = set()  # controllers that get 503
        self.slow: dict[str, float] = {}  # controller -> further seconds for each answer
        self.held: dict[str, asyncio.Event] = {}  # controller -> its requests wait for this before they are carried out
        self.lost: Callable[[str, dict[str, Any]], float | None] = lambda host, body: None
        """For a transaction: None, or after how many seconds it is carried out, without an answer."""
        self.leaders: list[tuple[float, str, str | None]] = []  # time, key, owner (None: removed)
        self._changed = asyncio.Event()
        self._task = asyncio.create_task(self._expire())

    async def serve(self, host: str) -> str:
        """Open the address for one controller."""

        async def handle(method: str, path: str, query: dict[str, str], body: bytes) -> Answer | None:
            return await self._handle(host, method, path, query, body)

        return f"127.0.0.1:{await Server(handle).start()}"

    def outage(self, down: bool) -> None:
        """Begin or end an outage. After it every lease has its full time again."""
        if self.down and not down:
            now = time.monotonic()
            self.leases = {lease: (ttl, now + ttl) for lease, (ttl, _) in self.leases.items()}
        self.down = down

    def owner(self, shard: int) -> str | None:
        """Return who leads a shard now."""
        item = self.items.get(f"b/parts/{shard}")
        return None if item is None else item[0]["owner"]

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if end < now and not self.down]:
                del self.leases[lease]
                keys = [key for key, item in self.items.items() if item[2] == lease]
                if keys:
                    self.ledger += 1
                    for key in keys:
                        self._remove(key)
                    self._notify()

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.log.append({"remove": key, "mark": self.ledger})
            self._note_leader(key, None)

    def _note_leader(self, key: str, value: Any) -> None:
        if key.startswith("b/parts/") or key == "b/fleet":
            self.leaders.append((time.monotonic(), key, value["owner"] if value else None))

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, host: str, method: str, path: str, query: dict[str, str], body: bytes) -> Answer | None:
        await asyncio.sleep(self.latency + self.slow.get(host, 0.0))
        gate = self.held.get(host)
        if gate is not None:
            await gate.wait()
        if self.down or host in self.refused:
            return 503, {"error": "down"}
        if path == "/txn":
            return await self._txn(host, json.loads(body))
        if path.startswith("/kv/"):
            item = self.items.get(key := unquote(path[4:]))
            if item is None:
                return 404, {"ledger": self.ledger}
            return 200, {"key": key, "value": item[0], "mark": item[1], "tether": item[2]}
        if path == "/kv":
            return self._list(query)
        if path == "/follow":
            return await self._follow(host, query)
        if path == "/grants":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl = json.loads(body)["ttl_ms"] / 1000
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"tether": lease}
        lease = int(path.split("/")[2])
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, time.monotonic() + ttl)
        return 200, {}

    def _list(self, query: dict[str, str]) -> Answer:
        keys = sorted(key for key in self.items if key.startswith(query["under"]) and key > query.get("since", ""))
        page = keys[: min(1000, int(query.get("limit", 1000)))]
        rows = [{"key": key, "value": self.items[key][0], "mark": self.items[key][1]} for key in page]
        return 200, {"rows": rows, "more": len(keys) > len(page), "ledger": self.ledger}

    async def _txn(self, host: str, body: dict[str, Any]) -> Answer | None:
        delay = self.lost(host, body)
        if delay is not None:
            await asyncio.sleep(delay)
            self.apply(body)
            await asyncio.sleep(NO_ANSWER_S)
            return None
        return self.apply(body)

    def apply(self, body: dict[str, Any]) -> Answer:
        """Carry out a transaction if its conditions hold."""
        marks = {key: item[1] for key, item in self.items.items()}
        failed = [compare["key"] for compare in body["if"] if marks.get(compare["key"], 0) != compare["mark"]]
        changes = body.get("apply", [])
        sizes = [len(json.dumps(change.get("value"), separators=(",", ":"))) for change in changes]
        if len(sizes) > self.txn_ops or max(sizes, default=0) > self.value_bytes or len(json.dumps(body)) > 1 << 16:
            return 400, {"error": "too large"}
        if len(body["if"]) > 4 * self.txn_ops:
            return 400, {"error": "too many conditions"}
        if any(change.get("tether") is not None and change["tether"] not in self.leases for change in changes):
            return 400, {"error": "no such lease"}
        if failed:
            return 409, {"failed": failed, "ledger": self.ledger}
        if not changes:
            return 200, {"ledger": self.ledger}
        self.ledger += 1
        for change in changes:
            if "write" in change:
                key, value = change["write"], change["value"]
                self.items[key] = (value, self.ledger, change.get("tether"))
                self.log.append({"write": key, "value": value, "mark": self.ledger})
                self._note_leader(key, value)
            else:
                self._remove(change["remove"])
        self._notify()
        return 200, {"ledger": self.ledger}

    async def _follow(self, host: str, query: dict[str, str]) -> Answer:
        since, end = int(query["since"]), time.monotonic() + int(query.get("block_ms", 0)) / 1000
        while True:
            if self.down or host in self.refused:
                await asyncio.sleep(0.05)
                continue
            changes = []
            for change in reversed(self.log):
                if change["mark"] <= since:
                    break
                if (change.get("write") or change["remove"]).startswith(query["under"]):
                    changes.append(change)
            remaining = end - time.monotonic()
            if changes or remaining <= 0:
                return 200, {"ledger": self.ledger, "log": changes[::-1]}
            try:
                async with asyncio.timeout(remaining):
                    await self._changed.wait()
            except TimeoutError:
                pass
