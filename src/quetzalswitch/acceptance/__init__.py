"""Accepting, cancelling and showing requests at an entry VM."""
