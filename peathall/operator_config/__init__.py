"""The settings that operators make for optional features, and the file that holds them."""
