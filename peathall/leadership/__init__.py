"""Slice `leadership`: who leads, in which term, and until when it may act."""
