"""Slice `peers`: requests and pings between the controllers of one deployment."""
