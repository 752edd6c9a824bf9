"""Slice `peers`: what controllers tell one another."""
