"""holdpick: the real router, which turns sockets into beacongw's events and its actions into sockets."""
