"""Everything that speaks with the platform: table, object store, VM list."""
