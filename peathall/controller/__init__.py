"""One controller: listeners, routes, and its part in the election."""
