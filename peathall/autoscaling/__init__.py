"""Slice `autoscaling`: provisions machines, deletes them, follows the cloud's list."""
