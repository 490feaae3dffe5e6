"""Multi-get on sockets: the thin shell around `pebblepass.multi_get`.

Each key is a request of its own to the decision module, under the command's id and its number; the bytes that
answer a single read are its entry in the command's reply.

`entries` holds one key, `reading` one command, `batch_exchange` the keys of a command that travel on one
connection, and `reads` all commands of a router. The daemon imports this package only with the operator's
`[many_keys]`.
"""
