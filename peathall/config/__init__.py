"""The settings file of the platform: sections, bounds, parsing."""
