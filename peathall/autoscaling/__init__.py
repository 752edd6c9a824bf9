"""Autoscaling: provisions and deletes machines, and reconciles them with the provider's list."""
