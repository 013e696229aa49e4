"""The command line: daemons, settings and the operators' commands."""
