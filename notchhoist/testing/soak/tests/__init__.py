"""Tests of the soak; see ``notchhoist.testing.soak``."""
