"""A slow plain model of duties: checks what state service and cloud accept, step by step."""

from __future__ import annotations

from typing import Any

from tests.sim.net import CALLER
from tests.sim.world import World

HOLDER, ACTION, ROUND, ENABLED = "duties/holder/", "duty-act/", "round/", "duties/on"


class DutyJudge:
    """Follows every accepted commit and every request that the cloud carries out."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.on = False
        self.term = 0  # of the latest leader
        self.holders: dict[str, dict[str, Any]] = {}  # duty -> its latest holder
        self.acting: dict[tuple[str, int], str] = {}  # duty and token -> who acted under it
        self.provisions: dict[str, dict[str, Any]] = {}  # by name, as committed
        self.answers: dict[str, list[str]] = {}  # of the cloud, by name
        self.pending_deletions: set[str] = set()
        self.rounds: set[str] = set()  # records of rounds that were written
        self.written: dict[str, int] = {}  # duty -> changes of the store alone
        self.open: dict[str, dict[str, Any]] = {}  # actions not known to be finished
        self.actions = self.claims = self.changes = 0

    def fault(self, what: str) -> None:
        self.faults.append(what)

    def holds(self, duty: str, token: int) -> bool:
        """Whether this is the highest token that was given."""
        return duty in self.holders and self.holders[duty]["token"] == token

    def commit(self, raw: dict[str, Any], caller: str = "") -> None:
        depends = {condition["k"] for condition in raw["when"]}
        for op in raw["apply"]:
            self.changes += 1
            if "drop" in op:
                self.deleted_record(op["drop"], depends)
            else:
                self.wrote(op["write"], op["data"], depends, caller)

    def wrote(self, key: str, data: Any, depends: set[str], caller: str) -> None:
        if key == "lead":
            self.term = data["term"]
        elif key == ENABLED:
            self.on = True
        elif key.startswith(HOLDER):
            self.claimed(key.removeprefix(HOLDER), data)
        elif key.startswith(ACTION):
            self.acted(*key.removeprefix(ACTION).split("/"), data, depends, caller)
        elif key.startswith("past/"):
            self.changed_store("cleanup", key, depends)
        elif key.startswith(ROUND) and key not in self.rounds:
            # Once: a late copy of the commit may bring a deleted record back, which starts
            # nothing, and compaction writes it anew.
            self.rounds.add(key)
            for entry in data["a"]:
                if entry[2] in self.pending_deletions:
                    self.fault(f"a start on {entry[2]}, which is to be deleted")

    def deleted_record(self, key: str, depends: set[str]) -> None:
        self.open.pop(key, None)
        if key == ENABLED:
            self.on = False
        elif key.startswith(("live/", "done/")):
            self.changed_store("cleanup", key, depends)
        elif key.startswith(ROUND):
            self.changed_store("reclaiming", key, depends)

    def changed_store(self, duty: str, key: str, depends: set[str]) -> None:
        if self.on:
            self.written[duty] = self.written.get(duty, 0) + 1
            self.depends(duty, key, depends)

    def depends(self, duty: str, key: str, depends: set[str]) -> None:
        if not {HOLDER + duty, "lead"} <= depends:
            self.fault(f"{key} does not depend on the holder of {duty} and the leader")

    def claimed(self, duty: str, record: dict[str, Any]) -> None:
        before = self.holders.get(duty)
        self.holders[duty] = record
        if before == record:
            return  # written anew by its holder, as a fence
        self.claims += 1
        if before is not None and record["token"] <= before["token"]:
            self.fault(f"token {record['token']} of {duty} was given before")

    def acted(
        self, duty: str, name: str, record: dict[str, Any], depends: set[str], caller: str
    ) -> None:
        self.actions += 1
        self.open[f"{ACTION}{duty}/{name}"] = record
        self.depends(duty, name, depends)
        if not self.holds(duty, record["token"]):
            self.fault(f"{name} under token {record['token']}, which does not hold {duty}")
        if self.acting.setdefault((duty, record["token"]), caller) != caller:
            self.fault(f"two holders acted under token {record['token']} of {duty}")
        if record["term"] != self.term:
            self.fault(f"{name} accepted for the replaced leader of term {record['term']}")
        if (
            record.get("rental")
            and self.provisions.setdefault(name, record["rental"]) != (record["rental"])
        ):
            self.fault(f"provision request {name} has two meanings")
        if record.get("deletion"):
            self.pending_deletions |= set(record["deletion"]["machines"])

    def deleted(self, machines: list[str]) -> None:
        """The cloud carries a deletion out."""
        if not set(machines) <= self.pending_deletions:
            self.fault(f"deletion of {set(machines) - self.pending_deletions} without an intent")

    def rented(self, name: str, machines: list[str] | None) -> None:
        """The cloud carries a provision request out, with this answer if it is known by then."""
        if name not in self.provisions:
            self.fault(f"provision request {name} without an intent")
        if machines is not None and self.answers.setdefault(name, machines) != machines:
            self.fault(f"two answers to provision request {name}")


class DutyHistory(DutyJudge):
    """The model of a day on the virtual clock."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self.world = world
        self.state = world.state
        self.state.on_accepted = lambda raw: self.commit(raw, CALLER.get(""))
        world.cloud.on_request = self.at_cloud

    def fault(self, what: str) -> None:
        super().fault(f"{self.state.loop.now:.2f} {what}")

    def holds(self, duty: str, token: int) -> bool:
        """Also the lease must be valid."""
        return HOLDER + duty in self.state.data and super().holds(duty, token)

    def claimed(self, duty: str, record: dict[str, Any]) -> None:
        held = self.state.data.get(HOLDER + duty)
        if held is not None and held[0] != record:
            self.fault(f"{duty} claimed while it is held")
        super().claimed(duty, record)

    def at_cloud(self, path: str, raw: dict[str, Any]) -> None:
        if path == "/hosts/delete":
            self.deleted(raw["halls"])
        else:
            self.rented(raw["hire"], self.world.cloud.provisioned.get(raw["hire"]))

    def token(self, duty: str) -> int:
        """The highest that was given."""
        return int(self.holders[duty]["token"]) if duty in self.holders else 0

    def unfinished(self) -> list[str]:
        """Actions that the state service holds as not finished."""
        return [key for key in self.state.data if key.startswith(ACTION)]
