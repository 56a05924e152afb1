"""HTTP API, client and command line for operators."""
