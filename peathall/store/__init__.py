"""Client of the state service, its rate limits, and the writer that batches transactions."""
