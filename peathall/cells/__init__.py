"""Component `cells`: hands whole jobs to another cell when their own lacks capacity in time."""
