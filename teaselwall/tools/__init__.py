"""Stand-ins for the platform, the demo and the benchmark."""
