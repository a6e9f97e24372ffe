"""Tests of the platform's protocol."""
