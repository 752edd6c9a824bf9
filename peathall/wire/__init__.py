"""Shared: HTTP, CBOR and the translation of the protocol's names."""
