"""Slice `cells`: jobs that move whole to another cell when their own has no capacity in time."""
