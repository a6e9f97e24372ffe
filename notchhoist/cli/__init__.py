"""The operators command-line tool ``notchhoist``."""
