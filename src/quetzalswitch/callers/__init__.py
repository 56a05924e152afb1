"""Everything that speaks with callers: HTTP interface, client, command."""
