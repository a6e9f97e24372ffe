"""Tests of parsing and validation."""
