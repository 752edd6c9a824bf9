"""peathall: a cluster scheduler; one leader decides, the other controllers stand by."""

__version__ = "0.1.0"
