"""Checks the rules about duties against what the state service and the cloud accept."""

from __future__ import annotations

from typing import Any

from tests.sim.net import CALLER
from tests.sim.world import World

HOLDER_PREFIX, ACTION_PREFIX, ROUND_PREFIX, ENABLED_KEY = (
    "duties/holder/",
    "duty-act/",
    "round/",
    "duties/on",
)


class DutyChecker:
    """Checks every transaction that the state service accepts and every request that the cloud
    carries out against a simple model, and collects the violations of the rules."""

    def __init__(self) -> None:
        self.faults: list[str] = []  # violations of the rules
        self.duties_on = False
        self.term = 0  # of the latest leader
        self.holders: dict[str, dict[str, Any]] = {}  # duty -> record of its latest holder
        self.token_users: dict[tuple[str, int], str] = {}  # duty, token -> caller that used it
        self.provisions: dict[str, dict[str, Any]] = {}  # name -> request, as committed
        self.provisioned: dict[str, list[str]] = {}  # name -> machines, as the cloud answered
        self.pending_deletions: set[str] = set()  # machines
        self.rounds: set[str] = set()  # keys of the records of rounds that were written
        self.store_writes: dict[str, int] = {}  # duty -> its record changes, without actions
        self.unfinished_actions: dict[str, dict[str, Any]] = {}  # key -> intent
        # Numbers of committed intents, of claims, and of changes to any record.
        self.actions = self.claims = self.changes = 0

    def add_fault(self, what: str) -> None:
        """Records a violation of a rule."""
        self.faults.append(what)

    def holds(self, duty: str, token: int) -> bool:
        """Whether this is the highest fencing token of the duty so far."""
        return duty in self.holders and self.holders[duty]["token"] == token

    def check_commit(self, raw: dict[str, Any], caller: str = "") -> None:
        """Checks a transaction that the state service has accepted from this caller."""
        depends = {condition["k"] for condition in raw["when"]}
        for op in raw["apply"]:
            self.changes += 1
            if "drop" in op:
                self.check_deleted_record(op["drop"], depends)
            else:
                self.check_written_record(op["write"], op["data"], depends, caller)

    def check_written_record(self, key: str, data: Any, depends: set[str], caller: str) -> None:
        """Checks a record that was written; `depends` are the keys in the conditions."""
        if key == "lead":
            self.term = data["term"]
        elif key == ENABLED_KEY:
            self.duties_on = True
        elif key.startswith(HOLDER_PREFIX):
            self.check_claim(key.removeprefix(HOLDER_PREFIX), data)
        elif key.startswith(ACTION_PREFIX):
            self.check_intent(*key.removeprefix(ACTION_PREFIX).split("/"), data, depends, caller)
        elif key.startswith("past/"):
            self.check_store_write("cleanup", key, depends)
        elif key.startswith(ROUND_PREFIX) and key not in self.rounds:
            # Only the first write of a round starts attempts: compaction rewrites its record, and
            # a late copy of a transaction may restore a deleted one.
            self.rounds.add(key)
            for entry in data["a"]:
                if entry[2] in self.pending_deletions:
                    self.add_fault(f"a start on {entry[2]}, which is to be deleted")

    def check_deleted_record(self, key: str, depends: set[str]) -> None:
        """Checks a record that was deleted."""
        self.unfinished_actions.pop(key, None)
        if key == ENABLED_KEY:
            self.duties_on = False
        elif key.startswith(("live/", "done/")):
            self.check_store_write("cleanup", key, depends)
        elif key.startswith(ROUND_PREFIX):
            self.check_store_write("reclaiming", key, depends)

    def check_store_write(self, duty: str, key: str, depends: set[str]) -> None:
        """Checks a change by a duty that acts on the state service only."""
        if self.duties_on:
            self.store_writes[duty] = self.store_writes.get(duty, 0) + 1
            self.depends(duty, key, depends)

    def depends(self, duty: str, key: str, depends: set[str]) -> None:
        """Checks that a change depends on the records of the duty's holder and of the leader."""
        if not {HOLDER_PREFIX + duty, "lead"} <= depends:
            self.add_fault(f"{key} does not depend on the holder of {duty} and the leader")

    def check_claim(self, duty: str, record: dict[str, Any]) -> None:
        """Checks a record of a holder, which was written."""
        previous = self.holders.get(duty)
        self.holders[duty] = record
        if previous == record:
            return  # a holder rewrites its own record as a fence
        self.claims += 1
        if previous is not None and record["token"] <= previous["token"]:
            self.add_fault(f"token {record['token']} of {duty} was given before")

    def check_intent(
        self, duty: str, name: str, record: dict[str, Any], depends: set[str], caller: str
    ) -> None:
        """Checks the intent of an action, which was written."""
        self.actions += 1
        self.unfinished_actions[f"{ACTION_PREFIX}{duty}/{name}"] = record
        self.depends(duty, name, depends)
        if not self.holds(duty, record["token"]):
            self.add_fault(f"{name} under token {record['token']}, which does not hold {duty}")
        if self.token_users.setdefault((duty, record["token"]), caller) != caller:
            self.add_fault(f"two holders acted under token {record['token']} of {duty}")
        if record["term"] != self.term:
            self.add_fault(f"{name} accepted for the replaced leader of term {record['term']}")
        if (
            record.get("rental")
            and self.provisions.setdefault(name, record["rental"]) != (record["rental"])
        ):
            self.add_fault(f"provision request {name} has two meanings")
        if record.get("deletion"):
            self.pending_deletions |= set(record["deletion"]["machines"])

    def check_deletion(self, machines: list[str]) -> None:
        """Checks a deletion that the cloud carries out."""
        if not set(machines) <= self.pending_deletions:
            self.add_fault(
                f"deletion of {set(machines) - self.pending_deletions} without an intent"
            )

    def check_provision(self, name: str, machines: list[str] | None) -> None:
        """Checks a provision request that the cloud carries out; `machines` is the response, or
        None if it is not known yet."""
        if name not in self.provisions:
            self.add_fault(f"provision request {name} without an intent")
        if machines is not None and self.provisioned.setdefault(name, machines) != machines:
            self.add_fault(f"two answers to provision request {name}")


class SimulatedDutyChecker(DutyChecker):
    """Follows the stand-ins of the state service and of the cloud on the virtual clock."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self.world = world
        self.state = world.state
        self.state.on_accepted = lambda raw: self.check_commit(raw, CALLER.get(""))
        world.cloud.on_request = self.check_cloud_request

    def add_fault(self, what: str) -> None:
        """Records a violation with the virtual time."""
        super().add_fault(f"{self.state.loop.now:.2f} {what}")

    def holds(self, duty: str, token: int) -> bool:
        """Whether the token is the highest and the holder's lease is valid."""
        return HOLDER_PREFIX + duty in self.state.data and super().holds(duty, token)

    def check_claim(self, duty: str, record: dict[str, Any]) -> None:
        """Checks in addition that the duty was not held by another claim."""
        held = self.state.data.get(HOLDER_PREFIX + duty)
        if held is not None and held[0] != record:
            self.add_fault(f"{duty} claimed while it is held")
        super().check_claim(duty, record)

    def check_cloud_request(self, path: str, raw: dict[str, Any]) -> None:
        """Checks a request that the cloud carries out."""
        if path == "/hosts/delete":
            self.check_deletion(raw["halls"])
        else:
            self.check_provision(raw["hire"], self.world.cloud.provisioned.get(raw["hire"]))

    def token(self, duty: str) -> int:
        """The highest fencing token of the duty so far; 0 without a claim."""
        return int(self.holders[duty]["token"]) if duty in self.holders else 0

    def unfinished(self) -> list[str]:
        """Keys of the intents in the state service: actions not known to be finished."""
        return [key for key in self.state.data if key.startswith(ACTION_PREFIX)]
