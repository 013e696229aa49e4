"""The command line: daemons, checks of settings, operators' commands."""
