"""Everything that speaks with other entry processes."""
