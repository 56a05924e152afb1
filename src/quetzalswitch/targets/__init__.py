"""Communication with targets: messages, HTTP client and control task."""
