"""Tests of the soak test ``notchhoist.testing.soak``."""
