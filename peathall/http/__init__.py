"""HTTP/1.1 server, client and admission of requests; knows nothing of the protocol above it."""
