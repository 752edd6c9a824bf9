"""The only place that knows the protocol's field names: messages in and out, and their encoding."""
