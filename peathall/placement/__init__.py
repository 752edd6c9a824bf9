"""Slice `placement`: which task runs on which machine; pure decisions."""
