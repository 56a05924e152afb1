"""Adapter to the users' platform: wire names, clients and the callers' API."""
