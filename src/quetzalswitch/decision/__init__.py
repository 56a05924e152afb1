"""Choosing what runs where: jobs, room, quotas, advice and placement."""
