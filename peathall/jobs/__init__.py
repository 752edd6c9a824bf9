"""Accepts, queries and cancels jobs, and stores their records in the state service."""
