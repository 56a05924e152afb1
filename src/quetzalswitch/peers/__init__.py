"""Communication between entry processes."""
