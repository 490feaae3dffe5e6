"""Two processes act as one router in an upgrade: state and client connections move to the successor."""
