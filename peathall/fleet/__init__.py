"""Slice `fleet`: renting machines from the cloud and returning them."""
