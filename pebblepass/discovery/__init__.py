"""Where nodes come from: the platform's registry."""
