"""Package `store`: client of the state service, its rate limits, and the writer."""
