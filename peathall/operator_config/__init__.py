"""The operators' own settings, and the file that holds them."""
