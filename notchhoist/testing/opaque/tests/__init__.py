"""Tests of the stand-in, and of the nodes in it."""
