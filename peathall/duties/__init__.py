"""Duties: actions that one controller at a time performs, owned by lease with fencing tokens."""
