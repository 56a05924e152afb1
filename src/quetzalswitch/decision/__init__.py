"""Scheduling decisions: jobs, capacity, quotas, advice and placement."""
