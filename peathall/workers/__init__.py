"""Handling of workers: heartbeats, leases, machine health, and commands to workers."""
