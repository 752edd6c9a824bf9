"""What a controller does only while it leads: one term, from recovery to its end."""
