"""The callers' interface: HTTP API, client and command line."""
