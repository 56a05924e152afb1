"""Sending starts, stops and lease renewals to targets."""
