"""Tests of the link scheduler."""
