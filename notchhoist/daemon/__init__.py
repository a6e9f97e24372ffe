"""The daemon ``notchhoistd``: settings, sockets, tasks, dump, logs."""
