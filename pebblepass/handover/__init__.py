"""Two processes as one router in an upgrade: the old one hands on its connections and what it knows."""
