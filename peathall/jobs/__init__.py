"""Package `jobs`: accepting, querying and cancelling jobs, and their records."""
