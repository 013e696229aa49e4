"""Stand-ins for the platform under the jobs' cores, in virtual time."""
