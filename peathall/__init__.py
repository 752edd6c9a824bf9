"""peathall: a cluster scheduler; one controller leads, the others are followers."""

__version__ = "0.1.0"
