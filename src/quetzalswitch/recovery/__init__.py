"""Electing the deciding entry and keeping what a restart must know."""
