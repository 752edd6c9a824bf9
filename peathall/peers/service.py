"""The former place of `Peers`, which is in `peathall.peers.client` now."""

from __future__ import annotations

from peathall.peers.client import Peers as Peers
