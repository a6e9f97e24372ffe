"""Stand-ins for the outside systems, fakes, and history checking."""
