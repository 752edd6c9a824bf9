"""The platform's settings file: its sections and their bounds, parsing and validation."""
