"""A controller: its construction and life cycle, and the routing of requests."""
