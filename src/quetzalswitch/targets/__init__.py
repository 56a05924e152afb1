"""Everything that speaks with targets: messages, HTTP client, link task."""
