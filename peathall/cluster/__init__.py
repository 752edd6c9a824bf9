"""The state of the cluster in one leader term: jobs, attempts, machines and teams' usage."""
