"""Where operators call: whether a router is ready, and its figures. The HTTP shell serves figures too."""
