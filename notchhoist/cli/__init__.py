"""Command-line tool ``notchhoist`` and log analysis commands."""
