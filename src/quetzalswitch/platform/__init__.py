"""Adapter to the users' platform: wire names, clients and front door."""
