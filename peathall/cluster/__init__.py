"""The state of the cluster in one term, shared by all slices: jobs, attempts, machines, use."""
