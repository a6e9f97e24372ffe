"""The daemon process: settings, sockets, timers, state dump and logs."""
