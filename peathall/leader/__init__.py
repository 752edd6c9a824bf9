"""One term of a leader: its slices, wired over one ClusterState."""
