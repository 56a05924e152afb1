"""Accepting, cancelling and looking up requests at an entry VM."""
