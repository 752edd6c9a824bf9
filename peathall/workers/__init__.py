"""Slice `workers`: check-ins, leases, and the orders that go back."""
