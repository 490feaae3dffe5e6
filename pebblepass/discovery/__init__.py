"""Client of the platform's discovery service: watches the list of servers and keeps it up to date."""
