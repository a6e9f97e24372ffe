"""Tests of the HTTP client."""
