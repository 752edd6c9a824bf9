"""Messages of the external protocol, and their encoding. No other package knows its field names."""
