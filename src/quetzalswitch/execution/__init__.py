"""Carrying out starts and holds on targets."""
