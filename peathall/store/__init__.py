"""Slice `store`: client of the state service, budgets, and the one writer."""
