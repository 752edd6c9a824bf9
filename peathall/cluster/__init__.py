"""State of the cluster in one leader term: jobs, attempts, machines and the usage of teams."""
