"""Slice `duties`: who acts on the cloud, one holder for each duty at a time, under a lease."""
