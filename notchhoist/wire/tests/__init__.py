"""Tests of the codecs."""
