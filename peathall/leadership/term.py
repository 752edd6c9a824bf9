"""The leader term: what a won election gives, and how its lease is renewed and revoked."""

from __future__ import annotations

import asyncio
import logging

from msgspec import Struct

from peathall import constants
from peathall.leadership.lease import LeaderLease
from peathall.store.client import StoreClient
from peathall.store.errors import LeaseExpiredError, StoreError
from peathall.store.transaction import GuardKey

log = logging.getLogger("peathall.leadership")


class LeaderTerm(Struct, frozen=True):
    """The term number, the leader key as it was written, and the lease that it is bound to."""

    term: int
    record: GuardKey
    lease_id: int  # the lease's name in the state service
    lease: LeaderLease  # until when the leader may act, by its own clock
    delegates: bool = False  # the leader acts on the cloud through the holders of duties


async def renew_lease(store: StoreClient, leader_term: LeaderTerm) -> None:
    """Renew the term's lease until it has expired in the state service, then return.

    An outage of the state service is waited out, in the same term: the leader may not act after
    its lease has ended by its own clock, but it may again once a renewal is answered.
    """
    loop = asyncio.get_running_loop()
    suspended = False
    while True:
        sent = loop.time()
        try:
            await store.renew_lease(leader_term.lease_id, constants.LEADER_RENEW_S)
            leader_term.lease.record_renewal(sent)
            if suspended:
                log.info("leader lease of term %d: valid again, renewed", leader_term.term)
                suspended = False
            pause = constants.LEADER_RENEW_S
        except LeaseExpiredError:
            log.info("leader lease of term %d: expired in the state service", leader_term.term)
            return
        except StoreError as exc:
            if not suspended and not leader_term.lease.is_valid(loop.time()):
                log.info(
                    "leader lease of term %d: not valid, no action is taken, renewal fails: %s",
                    leader_term.term,
                    exc,
                )
                suspended = True
            pause = constants.STORE_RETRY_S
        await asyncio.sleep(pause)


async def revoke_lease(store: StoreClient, lease_id: int) -> None:
    """End a lease before it expires; if this fails, it expires by itself."""
    try:
        await store.revoke_lease(lease_id)
    except StoreError as exc:
        log.debug("lease %d: not revoked, it will expire: %s", lease_id, exc)
