"""The running router, which turns sockets into the decisions' events and their actions into sockets."""
