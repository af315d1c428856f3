"""Stand-ins of the platform's store, workers and clients, and node processes."""
