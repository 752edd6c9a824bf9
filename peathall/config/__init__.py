"""The settings file of the platform: its sections and their bounds, parsing and checks."""
