"""Tests of the opaque-flow path."""
