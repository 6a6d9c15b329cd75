"""A site of real celeryline-platform processes on loopback, its stand-ins, faults and checks."""
