"""Stand-ins of clients, hosts and the platform for the cases of the review; standard library."""
