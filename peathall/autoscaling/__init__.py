"""Autoscaling: provisions and deletes machines, and reconciles them with the cloud's list."""
