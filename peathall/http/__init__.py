"""HTTP/1.1 server, client and request queue; independent of the messages that they carry."""
