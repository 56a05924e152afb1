"""Everything that speaks with operators: HTTP interface, client, command."""
