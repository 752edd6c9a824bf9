"""The operators' own settings, for the optional features, and the file that holds them."""
