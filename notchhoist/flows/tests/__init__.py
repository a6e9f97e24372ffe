"""Tests of the opaque-flow path, and helpers for the tests of its parts."""
