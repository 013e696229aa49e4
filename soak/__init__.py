"""Long random runs of the real cores with faults and global checks."""
