"""Duties: kinds of work that one controller at a time performs, by lease and fencing token."""
