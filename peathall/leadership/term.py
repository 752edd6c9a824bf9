"""The term of an elected leader, and the renewal and revocation of its lease."""

from __future__ import annotations

import asyncio
import logging

from msgspec import Struct

from peathall import constants
from peathall.leadership.lease import HeldLease
from peathall.store.client import StoreClient
from peathall.store.errors import LeaseExpiredError, StoreError
from peathall.store.transaction import GuardKey

log = logging.getLogger("peathall.leadership")


class LeaderTerm(Struct, frozen=True):
    """The term number, the leader key as the campaign wrote it, and the lease of that key."""

    term: int
    record: GuardKey
    lease_id: int  # of the lease in the state service
    lease: HeldLease  # until when the leader may act, by its own clock
    delegates: bool = False  # whether the leader delegates work to the holders of duties


async def renew_lease(store: StoreClient, leader_term: LeaderTerm) -> None:
    """Renew the term's lease until it has expired in the state service, then return.

    An outage of the state service does not end the term. A leader may not act while its lease is
    expired by its own clock, but it may act again once a renewal succeeds.
    """
    loop = asyncio.get_running_loop()
    suspended = False
    while True:
        sent = loop.time()
        try:
            await store.renew_lease(leader_term.lease_id, constants.LEADER_RENEW_S)
            leader_term.lease.record_renewal(sent)
            if suspended:
                log.info(
                    "leader lease of term %d: renewed, the leader may act again", leader_term.term
                )
                suspended = False
            pause = constants.LEADER_RENEW_S
        except LeaseExpiredError:
            log.info(
                "leader lease of term %d: expired in the state service, the term ends",
                leader_term.term,
            )
            return
        except StoreError as exc:
            if not suspended and not leader_term.lease.is_valid(loop.time()):
                log.info(
                    "leader lease of term %d: expired by the local clock, the leader does not act"
                    " until a renewal succeeds: %s",
                    leader_term.term,
                    exc,
                )
                suspended = True
            pause = constants.STORE_RETRY_S
        await asyncio.sleep(pause)


async def revoke_lease(store: StoreClient, lease_id: int) -> None:
    """End a lease before it expires; if the request fails, the lease expires on its own."""
    try:
        await store.revoke_lease(lease_id)
    except StoreError as exc:
        log.debug("lease %d: revocation failed, the lease will expire: %s", lease_id, exc)
