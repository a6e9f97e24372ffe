"""Stand-ins for external systems, fakes, and checks of histories."""
