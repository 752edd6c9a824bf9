"""Workers: heartbeats, leases, health, and the commands that are sent to them."""
