"""Agreement on the control state: elections, replication and changes of the voters, free of I/O."""
