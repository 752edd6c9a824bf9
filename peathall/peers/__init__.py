"""Requests and pings between the controllers of one deployment."""
