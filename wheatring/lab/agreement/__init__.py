"""What agreed views are held to, in virtual time: troubles that are measured, and days that are drawn."""
